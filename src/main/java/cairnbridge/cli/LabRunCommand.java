package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.drill.scenario.Scenario;
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
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Simulates one scenario on models and prints the result of each check and a summary. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Simulates one scenario.",
        footer = "Example: lab run drills/compare-ring.drill --policy two --seed 3")
final class LabRunCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "A scenario file, as in drills/.")
    private String file;

    @Option(
            names = "--policy",
            defaultValue = "router",
            description = "router, random, two, ring or bounded: ${DEFAULT-VALUE}.")
    private String policy;

    @Mixin private SeedOption seed;

    @Option(
            names = "--size",
            defaultValue = "1",
            description =
                    "Factor for the number of members and caches and the load: ${DEFAULT-VALUE}.")
    private int size;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description = "File for the run record, JSON lines.")
    private String out;

    @Override
    public Integer call() throws IOException {
        Policy.Kind kind = policyKind();
        OptionChecks.atLeastOne(size, "--size");
        long startNanos = System.nanoTime();
        Outcome outcome = simulate(kind);
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        outcome.checks().forEach(check -> print(describe(check)));
        outcome.crashes().forEach((name, reason) -> print(name + " has crashed: " + reason));
        print(summary(outcome, seconds));
        if (out != null) {
            Files.writeString(OptionChecks.path(out), RunRecord.lines(outcome));
        }
        return outcome.held() ? 0 : 1;
    }

    private Policy.Kind policyKind() {
        return Arrays.stream(Policy.Kind.values())
                .filter(each -> each.word().equals(policy))
                .findFirst()
                .orElseThrow(
                        () ->
                                new ConfigurationException(
                                        "--policy", "there is no policy " + policy));
    }

    private Outcome simulate(Policy.Kind kind) {
        Scenario scenario = DrillCommand.read(file);
        try {
            return new Emulation(scenario.times(size), kind, seed.value()).run();
        } catch (ScenarioFault e) {
            throw new ConfigurationException(file, e.getMessage());
        }
    }

    private static String describe(Outcome.Check check) {
        String verdict = check.held() ? "" : "DOES NOT HOLD, ";
        return "line " + check.line() + " " + check.step() + ": " + verdict + check.figures();
    }

    private static String summary(Outcome outcome, double seconds) {
        return String.format(
                Locale.ROOT,
                "%.4f of %d ops served, median %.1f ms, 99%% within %.1f ms; origin "
                        + "fetches %d; %.1f s simulated in %.1f s, %d events",
                outcome.service(),
                outcome.asked(),
                outcome.medianSpan(),
                outcome.span99(),
                outcome.fetches(),
                outcome.simulatedMillis() / 1e3,
                seconds,
                outcome.events());
    }

    private void print(String line) {
        spec.commandLine().getOut().println(line);
    }
}
