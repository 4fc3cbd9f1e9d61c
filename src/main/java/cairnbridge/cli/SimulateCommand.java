package cairnbridge.cli;

import cairnbridge.drill.simulated.ViewRuns;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the fleet's view on a simulated net. */
@Command(
        name = "simulate",
        mixinStandardHelpOptions = true,
        description =
                "Measures the fleet's view on a simulated net; the same seed gives the same"
                        + " figures.")
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
            description = "Crashes, leaves and joins, one a second.")
    private int changes;

    @Option(
            names = "--quiet",
            defaultValue = "20",
            description = "Seconds without a change before these: ${DEFAULT-VALUE}.")
    private int quiet;

    @Option(names = "--settled", description = "Begins with members who know one another already.")
    private boolean settled;

    @Option(
            names = "--hours",
            defaultValue = "0",
            description = "Counts false deaths over so long instead.")
    private double hours;

    @Option(
            names = "--freezes",
            defaultValue = "0",
            description = "Freezes of 3 s an hour, with --hours.")
    private int freezes;

    @Option(
            names = "--killed",
            defaultValue = "0",
            description = "Kills this part of the members in one instant instead, from 0 to 1.")
    private double killed;

    @Option(
            names = "--seeds",
            defaultValue = "20",
            description = "Courses, with --killed: ${DEFAULT-VALUE}.")
    private int seeds;

    @Option(
            names = "--loss",
            defaultValue = "0",
            description = "Part of datagrams lost, from 0 to 1.")
    private double loss;

    @Option(names = "--seed", defaultValue = "1", description = "Of all chance.")
    private long seed;

    @Override
    public Integer call() {
        check(members >= 4, "--members");
        check(changes >= 1, "--changes");
        check(quiet >= 1, "--quiet");
        check(loss >= 0 && loss <= 1, "--loss");
        check(killed >= 0 && killed < 1, "--killed");
        check(seeds >= 1, "--seeds");
        spec.commandLine().getOut().println(measured());
        return 0;
    }

    private String measured() {
        if (hours > 0) {
            return ViewRuns.falseDeaths(members, loss, freezes, hours, seed);
        }
        if (killed > 0) {
            return ViewRuns.killedAtOnce(members, killed, loss, seeds, seed);
        }
        return ViewRuns.spread(members, changes, quiet, loss, settled, seed);
    }

    private static void check(boolean inRange, String option) {
        OptionChecks.require(inRange, option, "is out of range");
    }
}
