package cairnbridge.cli;

import cairnbridge.lab.hunt.Hunt;
import java.io.IOException;
import java.nio.file.Files;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Searches for scenarios in which the default policy performs worse than a baseline policy. */
@Command(
        name = "hunt",
        mixinStandardHelpOptions = true,
        description =
                "Searches for scenarios in which the default policy performs worse than a simple"
                        + " one.",
        footer = "Example: lab hunt --rounds 10 --out lab/found-1.drill")
final class LabHuntCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--rounds",
            defaultValue = "10",
            description = "Number of search rounds: ${DEFAULT-VALUE}.")
    private int rounds;

    @Option(
            names = "--days",
            defaultValue = "32",
            description = "Candidate scenarios in each round: ${DEFAULT-VALUE}.")
    private int days;

    @Mixin private SeedOption seed;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "File for the scenario that is found.")
    private String out;

    @Override
    public Integer call() throws IOException {
        OptionChecks.atLeastOne(rounds, "--rounds");
        OptionChecks.atLeastOne(days, "--days");
        Hunt.Found found = new Hunt(seed.value(), this::print).run(rounds, days);
        print(found.text());
        if (out != null) {
            Files.writeString(OptionChecks.path(out), found.text());
        }
        return 0;
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
        spec.commandLine().getOut().flush();
    }
}
