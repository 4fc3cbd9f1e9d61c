package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.scale.upkeep.TurnCosts;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the periodic work of a member at several sizes of the fleet. */
@Command(
        name = "turns",
        mixinStandardHelpOptions = true,
        description = "Measures the CPU time of each part of a member's periodic work.")
final class ScaleTurnsCommand implements Callable<Integer> {
    private static final int MAX_MEMBERS = 16_384;
    private static final int MAX_NODES = 100_000;
    private static final int MAX_PLAYS = 1_000;

    @Option(
            names = "--members",
            split = ",",
            defaultValue = "100,450,1800",
            description = "Sizes of the fleet (default: ${DEFAULT-VALUE}).")
    private List<Integer> members;

    @Option(
            names = "--nodes",
            split = ",",
            defaultValue = "18,78,311",
            description = "Nodes at each of these sizes (default: ${DEFAULT-VALUE}).")
    private List<Integer> nodes;

    @Option(
            names = "--plays",
            defaultValue = "3",
            description = "Measurements of each part (default: ${DEFAULT-VALUE}).")
    private int plays;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Random seed of the generated fleets (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Override
    public Integer call() throws IOException {
        members.forEach(size -> requireWithin("--members", size, 2, MAX_MEMBERS));
        nodes.forEach(size -> requireWithin("--nodes", size, 1, MAX_NODES));
        requireWithin("--plays", plays, 1, MAX_PLAYS);
        if (nodes.size() != members.size()) {
            throw new ConfigurationException("--nodes", "needs one number for each of --members");
        }
        MeasurementWriter writer = new MeasurementWriter(System.out, MeasurementContext.here());
        for (int i = 0; i < members.size(); i++) {
            new TurnCosts(members.get(i), nodes.get(i), seed).measure(plays, writer);
        }
        return 0;
    }

    private static void requireWithin(String option, int value, int least, int most) {
        if (value < least || value > most) {
            throw new ConfigurationException(option, "is not between " + least + " and " + most);
        }
    }
}
