package cairnbridge.cli;

import cairnbridge.drill.simulated.StoreRuns;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Drives a store's files through losses of power and rot for as long as it is told. */
@Command(
        name = "fuzz",
        mixinStandardHelpOptions = true,
        description =
                "Reads a store back after losses of power, faults and rot on a simulated disk.")
final class FuzzCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(names = "--minutes", defaultValue = "10", description = "How long: ${DEFAULT-VALUE}.")
    private double minutes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The first seed; the next ones follow it.")
    private long seed;

    @Override
    public Integer call() {
        OptionChecks.require(minutes > 0, "--minutes", "is not above 0");
        long until = System.nanoTime() + (long) (minutes * 60e9);
        long next = seed;
        while (System.nanoTime() < until) {
            try {
                StoreRuns.lossOfPower(next);
                StoreRuns.rot(next);
            } catch (RuntimeException e) {
                spec.commandLine().getErr().println("seed " + next + ": " + e);
                return 1;
            }
            next++;
        }
        spec.commandLine().getOut().println(next - seed + " seeds, all held");
        return 0;
    }
}
