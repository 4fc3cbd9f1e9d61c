package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.drill.rig.Drill;
import cairnbridge.drill.scenario.Scenario;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.drill.scenario.ScenarioFile;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs scenarios in sequence; the exit status is 1 if any check of a scenario fails. */
@Command(
        name = "drill",
        mixinStandardHelpOptions = true,
        description =
                "Starts proxies and stub servers on loopback addresses and injects faults between"
                        + " them.")
final class DrillCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Scenario files, as in drills/.")
    private List<String> files;

    @Option(
            names = "--out",
            paramLabel = "FOLDER",
            description =
                    "Folder for event records and the files of the processes; default: a new"
                            + " temporary folder.")
    private String out;

    @Option(names = "--check", description = "Parses the scenarios without running them.")
    private boolean check;

    @Override
    public Integer call() throws IOException, InterruptedException {
        boolean allHeld = true;
        for (String file : files) {
            Scenario scenario = read(file);
            if (check) {
                continue;
            }
            String name = Path.of(file).getFileName().toString().replace(".drill", "");
            Path folder =
                    out == null ? Files.createTempDirectory("drill-" + name) : Path.of(out, name);
            print(name + ": " + scenario.title());
            Drill.Verdict verdict = new Drill(scenario, folder, line -> print("  " + line)).run();
            print(name + (verdict.held() ? " HELD" : " DID NOT HOLD") + ", record in " + folder);
            allHeld &= verdict.held();
        }
        return allHeld ? 0 : 1;
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }

    /**
     * Reads a scenario file.
     *
     * @throws ConfigurationException if the file cannot be read or parsed; its message begins with
     *     the file name
     */
    static Scenario read(String file) {
        try {
            return ScenarioFile.read(Files.readString(Path.of(file)));
        } catch (ScenarioFault e) {
            throw new ConfigurationException(file, e.getMessage());
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException(file, "cannot be read");
        }
    }
}
