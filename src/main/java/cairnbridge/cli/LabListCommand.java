package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.lab.policy.Policy;
import cairnbridge.lab.run.Emulation;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Lists the scenarios of a folder and reports which of them the simulation supports. */
@Command(
        name = "list",
        mixinStandardHelpOptions = true,
        description =
                "Reports which scenarios of a folder can be simulated on models, and why others"
                        + " cannot.",
        footer = "Example: lab list drills")
final class LabListCommand implements Callable<Integer> {
    private static final String SCENARIO_SUFFIX = ".drill";

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FOLDER", description = "Folder that contains the scenarios.")
    private String folder;

    @Override
    public Integer call() {
        for (Path file : scenarioFiles()) {
            Scenario scenario = DrillCommand.read(file.toString());
            String name = file.getFileName().toString().replace(SCENARIO_SUFFIX, "");
            spec.commandLine().getOut().printf("%-24s %s%n", name, describe(scenario));
        }
        return 0;
    }

    private List<Path> scenarioFiles() {
        try (Stream<Path> all = Files.list(OptionChecks.path(folder))) {
            return all.filter(each -> each.toString().endsWith(SCENARIO_SUFFIX)).sorted().toList();
        } catch (IOException | UncheckedIOException e) {
            throw new ConfigurationException("FOLDER", "cannot be read: " + folder);
        }
    }

    /** Returns the title of a scenario, or the reason why it cannot be simulated. */
    private static String describe(Scenario scenario) {
        try {
            new Emulation(scenario, Policy.Kind.ROUTER, 1);
            return scenario.title();
        } catch (ScenarioFault | ConfigurationException e) {
            return "- " + e.getMessage();
        }
    }
}
