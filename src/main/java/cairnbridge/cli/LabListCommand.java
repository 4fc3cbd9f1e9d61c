package cairnbridge.cli;

import cairnbridge.config.ConfigFault;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.lab.policy.Policy;
import cairnbridge.lab.run.Emulation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Lists the scenarios of a folder and says which of them can be played on models. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description =
                "Says which scenarios of a folder can be played on models, and why others"
                        + " cannot.",
        footer = "Example: lab list drills")
final class LabListCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FOLDER", description = "Where scenarios are.")
    private String folder;

    @Override
    public Integer call() throws IOException {
        List<Path> files = new ArrayList<>();
        try (Stream<Path> all = Files.list(OptionChecks.path(folder))) {
            all.filter(each -> each.toString().endsWith(".drill")).sorted().forEach(files::add);
        }
        for (Path file : files) {
            Scenario scenario = DrillCommand.read(file.toString());
            String name = file.getFileName().toString().replace(".drill", "");
            String what;
            try {
                new Emulation(scenario, Policy.Kind.ROUTER, 1);
                what = scenario.title();
            } catch (ScenarioFault | ConfigFault e) {
                what = "- " + e.getMessage();
            }
            spec.commandLine().getOut().printf("%-24s %s%n", name, what);
        }
        return 0;
    }
}
