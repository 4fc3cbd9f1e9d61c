package cairnbridge.cli;

import cairnbridge.lab.report.Report;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Draws the records of runs and the results of experiments on one page. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Makes one page with plots of what runs and experiments wrote.",
        footer =
                "Example: lab report target/run.jsonl target/policies.jsonl --out"
                        + " target/report.html")
final class LabReportCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(
            arity = "1..*",
            paramLabel = "FILE",
            description = "Records of `lab run --out` and results of `lab experiment --out`.")
    private List<String> files;

    @Option(
            names = "--out",
            required = true,
            paramLabel = "FILE",
            description = "Where the page goes, HTML.")
    private String out;

    @Option(
            names = "--png",
            paramLabel = "FOLDER",
            description = "Where each plot goes as a picture.")
    private String png;

    @Option(names = "--title", defaultValue = "The laboratory", description = "${DEFAULT-VALUE}.")
    private String title;

    @Override
    public Integer call() throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<String> plots =
                Report.write(
                        title,
                        files.stream().map(OptionChecks::path).toList(),
                        OptionChecks.path(out),
                        Optional.ofNullable(png).map(OptionChecks::path));
        spec.commandLine().getOut().println(plots.size() + " plots in " + out);
        return 0;
    }
}
