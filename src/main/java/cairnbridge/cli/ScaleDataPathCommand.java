package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.scale.datapath.DataPathPlan;
import cairnbridge.scale.datapath.DataPathScale;
import cairnbridge.scale.datapath.ProcessFigures;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the cost of a request, a body byte, an idle connection and a node in a real proxy. */
@Command(
        name = "data-path",
        mixinStandardHelpOptions = true,
        description = "Starts a proxy with stub servers on loopback and measures its process.",
        footer =
                "Example: scale data-path --requests 6000 --body 512,8192,65536"
                        + " --connections 0,500,1000 --nodes 28,310 --seed 1")
final class ScaleDataPathCommand implements Callable<Integer> {
    /** The largest body, in bytes, that the deployment's protocol allows. */
    private static final int MAX_BODY = 65_536;

    private static final int MAX_REQUESTS = 1_000_000;
    private static final int MAX_REPEATS = 20;
    private static final int MAX_CONNECTIONS = 100_000;
    private static final int MAX_NODES = 5_000;
    private static final int MIN_TTL = 50;
    private static final int MAX_TTL = 10_000;
    private static final int MAX_RATE = 100_000;

    private static final int WARM_UP_REQUESTS = 3_000;

    /**
     * TTL, in ms, of the requests whose memory use is measured; long enough to send and measure all
     * of them before the first one expires.
     */
    private static final int HELD_TTL = 6_000;

    @Spec private CommandSpec spec;

    @Option(
            names = "--requests",
            defaultValue = "6000",
            description = "Requests for each measured point: ${DEFAULT-VALUE}.")
    private String requests;

    @Option(
            names = "--body",
            defaultValue = "512,8192,65536",
            paramLabel = "BYTES[,BYTES...]",
            description = "Bytes of a response's body: ${DEFAULT-VALUE}.")
    private String bodies;

    @Option(
            names = "--connections",
            defaultValue = "0,500,1000",
            paramLabel = "C[,C...]",
            description = "Idle connections of clients: ${DEFAULT-VALUE}.")
    private String connections;

    @Option(
            names = "--nodes",
            defaultValue = "28,310",
            paramLabel = "N[,N...]",
            description =
                    "Nodes in the list; bodies and connections use the first: ${DEFAULT-VALUE}.")
    private String nodes;

    @Option(
            names = "--repeats",
            defaultValue = "3",
            description = "Repetitions of the whole measurement: ${DEFAULT-VALUE}.")
    private String repeats;

    @Option(
            names = "--rate",
            defaultValue = "1167",
            description = "Requests per second of all clients together: ${DEFAULT-VALUE}.")
    private String rate;

    @Option(
            names = "--ttl-ms",
            defaultValue = "800",
            description = "Milliseconds that a client waits for its response: ${DEFAULT-VALUE}.")
    private String ttl;

    @Option(
            names = "--jvm-args",
            defaultValue = "deploy/serve.args",
            paramLabel = "FILE",
            description = "Arguments of the proxy's virtual machine: ${DEFAULT-VALUE}.")
    private String jvmArgumentsFile;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of the keys: ${DEFAULT-VALUE}.")
    private String seed;

    @Override
    public Integer call() throws IOException, InterruptedException {
        DataPathPlan plan =
                new DataPathPlan(
                        SizeOption.one("--requests", requests, 1, MAX_REQUESTS),
                        SizeOption.list("--body", bodies, 0, MAX_BODY),
                        SizeOption.list("--connections", connections, 0, MAX_CONNECTIONS),
                        SizeOption.list("--nodes", nodes, 1, MAX_NODES),
                        SizeOption.one("--rate", rate, 1, MAX_RATE),
                        SizeOption.one("--ttl-ms", ttl, MIN_TTL, MAX_TTL),
                        WARM_UP_REQUESTS,
                        HELD_TTL,
                        SizeOption.one("--repeats", repeats, 1, MAX_REPEATS),
                        SizeOption.seed("--seed", seed),
                        readable("--jvm-args", jvmArgumentsFile));
        checkDescriptors(plan, ProcessFigures.descriptorLimit());
        MeasurementWriter writer = new MeasurementWriter(System.out, MeasurementContext.here());
        try {
            new DataPathScale(plan, writer).measure();
        } catch (IOException e) {
            spec.commandLine().getErr().println(e.getMessage());
            return 1;
        }
        return 0;
    }

    /** Rejects a plan that needs more file descriptors than the process limit allows. */
    static void checkDescriptors(DataPathPlan plan, int limit) {
        if (plan.descriptors() > limit) {
            throw new ConfigurationException(
                    "--connections",
                    "with --nodes needs "
                            + plan.descriptors()
                            + " descriptors, "
                            + limit
                            + " are allowed");
        }
    }

    private static Path readable(String option, String text) {
        try {
            Path path = Path.of(text);
            if (Files.isReadable(path)) {
                return path;
            }
        } catch (InvalidPathException e) {
            throw new ConfigurationException(option, "is not a valid path");
        }
        throw new ConfigurationException(option, "cannot be read: " + text);
    }
}
