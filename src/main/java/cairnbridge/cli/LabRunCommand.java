package cairnbridge.cli;

import cairnbridge.config.ConfigFault;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.lab.policy.Policy;
import cairnbridge.lab.run.Emulation;
import cairnbridge.lab.run.Outcome;
import cairnbridge.lab.run.RunRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plays one scenario on models and prints its checks and its sums. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays one scenario.",
        footer = "Example: lab run drills/compare-ring.drill --policy two --seed 3")
final class LabRunCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A scenario, as in drills/.")
    private String file;

    @Option(
            names = "--policy",
            defaultValue = "router",
            description = "router, random, two, ring or bounded: ${DEFAULT-VALUE}.")
    private String policy;

    @Option(names = "--seed", defaultValue = "1", description = "Of all chance: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--size",
            defaultValue = "1",
            description = "Members, caches and load so many times: ${DEFAULT-VALUE}.")
    private int size;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "Where the record goes, lines of JSON.")
    private String out;

    @Override
    public Integer call() throws IOException {
        Policy.Kind kind =
                Arrays.stream(Policy.Kind.values())
                        .filter(each -> each.word().equals(policy))
                        .findFirst()
                        .orElseThrow(
                                () -> new ConfigFault("--policy", "there is no policy " + policy));
        if (size < 1) {
            throw new ConfigFault("--size", "is under 1");
        }
        long from = System.nanoTime();
        Outcome outcome;
        try {
            outcome = new Emulation(DrillCommand.read(file).times(size), kind, seed).run();
        } catch (ScenarioFault e) {
            throw new ConfigFault(file, e.getMessage());
        }
        for (Outcome.Check check : outcome.checks()) {
            say(
                    "line "
                            + check.line()
                            + " "
                            + check.step()
                            + ": "
                            + (check.held() ? "" : "DOES NOT HOLD, ")
                            + check.figures());
        }
        outcome.crashes().forEach((name, why) -> say(name + " has crashed: " + why));
        say(
                String.format(
                        Locale.ROOT,
                        "%.4f of %d ops served, median %.1f ms, 99%% within %.1f ms; origin "
                                + "fetches %d; %.1f s simulated in %.1f s, %d events",
                        outcome.service(),
                        outcome.asked(),
                        outcome.medianSpan(),
                        outcome.span99(),
                        outcome.fetches(),
                        outcome.simulatedMillis() / 1e3,
                        (System.nanoTime() - from) / 1e9,
                        outcome.events()));
        if (out != null) {
            Files.writeString(OptionChecks.path(out), RunRecord.lines(outcome));
        }
        return outcome.held() ? 0 : 1;
    }

    private void say(String line) {
        spec.commandLine().getOut().println(line);
    }
}
