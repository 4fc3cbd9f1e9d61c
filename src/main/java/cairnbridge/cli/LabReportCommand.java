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

/** Writes one HTML page with plots of run records and experiment results. */
@Command(
        name = "report",
        mixinStandardHelpOptions = true,
        description = "Writes one HTML page with plots of run records and experiment results.",
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
            description = "HTML file to write.")
    private String out;

    @Option(
            names = "--png",
            paramLabel = "FOLDER",
            description = "Folder for a PNG image of each plot.")
    private String png;

    @Option(
            names = "--title",
            defaultValue = "The laboratory",
            description = "Title of the page: ${DEFAULT-VALUE}.")
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
