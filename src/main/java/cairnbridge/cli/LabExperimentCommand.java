package cairnbridge.cli;

import cairnbridge.lab.experiment.Comparison;
import cairnbridge.lab.experiment.Experiment;
import cairnbridge.lab.experiment.ExperimentFile;
import cairnbridge.lab.experiment.Results;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import me.tongfei.progressbar.ProgressBarStyle;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs the variants of an experiment file and compares their results. */
@Command(
        name = "experiment",
        mixinStandardHelpOptions = true,
        description =
                "Runs the variants that an experiment file defines and compares their results.",
        footer = "Example: lab experiment lab/policies.toml --out target/policies.jsonl")
final class LabExperimentCommand implements Callable<Integer> {
    private static final int PROGRESS_UPDATE_MILLIS = 500;
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "An experiment file, TOML.")
    private String file;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "FILE",
            description = "Results file, JSON lines; runs that are already in it are skipped.")
    private String out;

    @Option(
            names = "--commit",
            defaultValue = "unknown",
            description = "Commit recorded in the results.")
    private String commit;

    @Option(
            names = "--threads",
            defaultValue = "0",
            description = "Number of threads; 0: one for each core.")
    private int threads;

    @Override
    public Integer call() throws IOException, InterruptedException {
        Experiment experiment = ExperimentFile.read(OptionChecks.path(file));
        int threadCount = threads > 0 ? threads : Runtime.getRuntime().availableProcessors();
        List<Results.Line> lines;
        try (ProgressBar bar =
                new ProgressBarBuilder()
                        .setTaskName("runs")
                        .setInitialMax(1)
                        .setStyle(ProgressBarStyle.ASCII)
                        .setUpdateIntervalMillis(PROGRESS_UPDATE_MILLIS)
                        .build()) {
            lines =
                    Results.run(
                            experiment,
                            OptionChecks.path(out),
                            commit,
                            threadCount,
                            (done, total) -> {
                                bar.maxHint(total);
                                bar.stepTo(done);
                            });
        }
        spec.commandLine().getOut().print(Comparison.table(experiment, lines));
        spec.commandLine().getOut().flush();
        return 0;
    }
}
