package cairnbridge.cli;

import cairnbridge.drill.simulated.ViewRuns;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the fleet's membership view on a simulated network. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description =
                "Measures the membership view on a simulated network; the same seed gives the"
                        + " same figures.")
final class SimulateCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--members",
            defaultValue = "100",
            description = "Size of the fleet: ${DEFAULT-VALUE}.")
    private int members;

    @Option(
            names = "--changes",
            defaultValue = "60",
            description = "Crashes, leaves and joins, one per second.")
    private int changes;

    @Option(
            names = "--quiet",
            defaultValue = "20",
            description = "Seconds without a change before the first one: ${DEFAULT-VALUE}.")
    private int quiet;

    @Option(names = "--settled", description = "Starts with members that already know each other.")
    private boolean settled;

    @Option(
            names = "--hours",
            defaultValue = "0",
            description = "Counts false death verdicts over this many hours instead.")
    private double hours;

    @Option(
            names = "--freezes",
            defaultValue = "0",
            description = "Freezes of 3 s per hour, with --hours.")
    private int freezes;

    @Option(
            names = "--killed",
            defaultValue = "0",
            description = "Kills this fraction of the members at once instead, from 0 to 1.")
    private double killed;

    @Option(
            names = "--seeds",
            defaultValue = "20",
            description = "Number of runs, with --killed: ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(
            names = "--loss",
            defaultValue = "0",
            description = "Fraction of datagrams lost, from 0 to 1.")
    private double loss;

    @Option(names = "--seed", defaultValue = "1", description = "Random seed.")
    private long seed;

    @Override
    public Integer call() {
        requireInRange(members >= 4, "--members");
        requireInRange(changes >= 1, "--changes");
        requireInRange(quiet >= 1, "--quiet");
        requireInRange(loss >= 0 && loss <= 1, "--loss");
        requireInRange(killed >= 0 && killed < 1, "--killed");
        requireInRange(seeds >= 1, "--seeds");
        spec.commandLine().getOut().println(measure());
        return 0;
    }

    private String measure() {
        if (hours > 0) {
            return ViewRuns.falseDeaths(members, loss, freezes, hours, seed);
        }
        if (killed > 0) {
            return ViewRuns.killedAtOnce(members, killed, loss, seeds, seed);
        }
        return ViewRuns.spread(members, changes, quiet, loss, settled, seed);
    }

    private static void requireInRange(boolean inRange, String option) {
        OptionChecks.require(inRange, option, "is out of range");
    }
}
