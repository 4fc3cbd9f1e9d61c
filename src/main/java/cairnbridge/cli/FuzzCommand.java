package cairnbridge.cli;

import cairnbridge.drill.simulated.StoreRuns;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Tests a store against simulated power losses and data corruption for a given time. */
@Command(
        name = "fuzz",
        mixinStandardHelpOptions = true,
        description =
                "Reads a store after power losses, disk faults and corruption on a simulated disk.")
final class FuzzCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--minutes",
            defaultValue = "10",
            description = "Minutes to run: ${DEFAULT-VALUE}.")
    private double minutes;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "The first seed; each iteration uses the next one.")
    private long seed;

    @Override
    public Integer call() {
        OptionChecks.require(minutes > 0, "--minutes", "is not above 0");
        long deadline = System.nanoTime() + (long) (minutes * 60e9);
        long currentSeed = seed;
        while (System.nanoTime() < deadline) {
            try {
                StoreRuns.lossOfPower(currentSeed);
                StoreRuns.rot(currentSeed);
            } catch (RuntimeException e) {
                spec.commandLine().getErr().println("seed " + currentSeed + ": " + e);
                return 1;
            }
            currentSeed++;
        }
        spec.commandLine().getOut().println(currentSeed - seed + " seeds, all held");
        return 0;
    }
}
