package cairnbridge.cli;

import cairnbridge.config.ConfigFault;
import cairnbridge.drill.simulated.ViewRuns;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the fleet's view on a simulated net. */
@Command(name = "simulate", mixinStandardHelpOptions = true,
        description = "Measures the fleet's view on a simulated net; the same seed gives the same figures.")
final class SimulateCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;
    @Option(names = "--members", defaultValue = "100", description = "Size of the fleet: ${DEFAULT-VALUE}.")
    private int members;
    @Option(names = "--changes", defaultValue = "60",
            description = "Crashes, leaves and joins, one a second.")
    private int changes;
    @Option(names = "--hours", defaultValue = "0", description = "Counts false deaths over so long instead.")
    private double hours;
    @Option(names = "--freezes", defaultValue = "0", description = "Freezes of 3 s an hour, with --hours.")
    private int freezes;
    @Option(names = "--loss", defaultValue = "0", description = "Part of datagrams lost, from 0 to 1.")
    private double loss;
    @Option(names = "--seed", defaultValue = "1", description = "Of all chance.")
    private long seed;

    @Override
    public Integer call() {
        if (members < 4 || !(loss >= 0 && loss <= 1) || changes < 1) {
            throw new ConfigFault(members < 4 ? "--members" : changes < 1 ? "--changes"
                    : "--loss",
                    "is out of range");
        }
        spec.commandLine().getOut().println(hours > 0 ? ViewRuns.falseDeaths(members, loss, freezes, hours,
                seed)
                : ViewRuns.spread(members, changes, loss, seed));
        return 0;
    }
}
