package cairnbridge.cli;

import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.scale.router.FleetLoad;
import cairnbridge.scale.router.RouterLoad;
import cairnbridge.scale.router.RouterScale;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures the cost of the decision module alone as a function of the number of nodes. */
@Command(
        name = "router",
        mixinStandardHelpOptions = true,
        description = "Measures the decision module alone at several numbers of nodes.",
        footer = "Example: scale router --nodes 28,100,310 --plays 3 --requests 200000 --seed 1")
final class ScaleRouterCommand implements Callable<Integer> {
    private static final int MAX_NODES = 20_000;
    private static final int MAX_PLAYS = 100;
    private static final int MAX_REQUESTS = 10_000_000;
    private static final int MAX_PROXIES = 1_000_000;
    private static final int MAX_KEYS = 10_000_000;
    private static final double MIN_RATE = 0.1;
    private static final double MAX_RATE = 1_000_000;
    private static final double MIN_LATENCY = 0.1;
    private static final double MAX_LATENCY = 500;
    private static final double MAX_SECONDS = 60;
    private static final double MIN_SKEW = 1;
    private static final double MAX_SKEW = 10;

    @Option(
            names = "--nodes",
            defaultValue = "28,100,310",
            paramLabel = "N[,N...]",
            description = "Nodes in the list: ${DEFAULT-VALUE}.")
    private String nodes;

    @Option(
            names = "--plays",
            defaultValue = "3",
            description = "Runs of each size: ${DEFAULT-VALUE}.")
    private String plays;

    @Option(
            names = "--requests",
            defaultValue = "200000",
            description = "Requests in each run: ${DEFAULT-VALUE}.")
    private String requests;

    @Option(
            names = "--rate",
            defaultValue = "1167",
            description = "Simulated requests per second: ${DEFAULT-VALUE}.")
    private String rate;

    @Option(
            names = "--latency-ms",
            defaultValue = "10",
            description = "Simulated latency of an attempt, in ms: ${DEFAULT-VALUE}.")
    private String latency;

    @Option(
            names = "--proxies",
            defaultValue = "1800",
            description = "Fleet size that the router is configured with: ${DEFAULT-VALUE}.")
    private String proxies;

    @Option(
            names = "--zones",
            defaultValue = "0",
            description = "Zones to which a plan assigns keys; 0: no plan: ${DEFAULT-VALUE}.")
    private String zones;

    @Option(
            names = "--keys",
            defaultValue = "100000",
            description = "Number of distinct keys requested: ${DEFAULT-VALUE}.")
    private String keys;

    @Option(
            names = "--skew",
            defaultValue = "1",
            description = "Key popularity: 1 uniform, 3 few hot keys: ${DEFAULT-VALUE}.")
    private String skew;

    @Option(
            names = "--fleet-seconds",
            defaultValue = "0",
            description =
                    "Sums the load of all proxies on the nodes over this many simulated seconds"
                            + " instead; 0: off: ${DEFAULT-VALUE}.")
    private String fleetSeconds;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Random seed of the first run: ${DEFAULT-VALUE}.")
    private String seed;

    @Override
    public Integer call() throws IOException {
        List<RouterLoad> loads =
                SizeOption.list("--nodes", nodes, 1, MAX_NODES).stream().map(this::load).toList();
        int playCount = SizeOption.one("--plays", plays, 1, MAX_PLAYS);
        MeasurementWriter writer = new MeasurementWriter(System.out, MeasurementContext.here());
        double seconds = SizeOption.decimal("--fleet-seconds", fleetSeconds, 0, MAX_SECONDS);
        if (seconds > 0) {
            new FleetLoad(writer).measure(loads, seconds);
        } else {
            new RouterScale(writer).measure(loads, playCount);
        }
        return 0;
    }

    private RouterLoad load(int size) {
        return new RouterLoad(
                size,
                SizeOption.one("--proxies", proxies, 1, MAX_PROXIES),
                SizeOption.one("--zones", zones, 0, size),
                SizeOption.one("--requests", requests, 1, MAX_REQUESTS),
                SizeOption.decimal("--rate", rate, MIN_RATE, MAX_RATE),
                SizeOption.decimal("--latency-ms", latency, MIN_LATENCY, MAX_LATENCY),
                SizeOption.one("--keys", keys, 1, MAX_KEYS),
                SizeOption.decimal("--skew", skew, MIN_SKEW, MAX_SKEW),
                SizeOption.seed("--seed", seed));
    }
}
