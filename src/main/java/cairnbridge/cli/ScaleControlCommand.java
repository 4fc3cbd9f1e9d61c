package cairnbridge.cli;

import cairnbridge.config.ConfigurationException;
import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import cairnbridge.scale.control.ControlFits;
import cairnbridge.scale.control.ControlMeasurements;
import cairnbridge.scale.control.HollowProcess;
import cairnbridge.scale.control.TurnCosts;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Measures the control plane on fleets of hollow proxies. */
@Command(
        name = "control",
        mixinStandardHelpOptions = true,
        description = "Measures the control plane on fleets of proxies without clients or caches.",
        subcommands = {
            ScaleControlCommand.ProcessCommand.class,
            ScaleControlCommand.TurnsCommand.class,
            ScaleControlCommand.FitCommand.class
        })
final class ScaleControlCommand implements Callable<Integer> {
    @Option(
            names = "--members",
            split = ",",
            defaultValue = "50,150",
            paramLabel = "N",
            description = "Sizes of the fleets: ${DEFAULT-VALUE}.")
    private List<Integer> members;

    @Option(
            names = "--processes",
            defaultValue = "2",
            description = "Processes that share a fleet's members: ${DEFAULT-VALUE}.")
    private int processes;

    @Option(
            names = "--plays",
            defaultValue = "3",
            description = "Runs of each size: ${DEFAULT-VALUE}.")
    private int plays;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Random seed of the first run: ${DEFAULT-VALUE}.")
    private long seed;

    @Option(
            names = "--settle-seconds",
            defaultValue = "5",
            description = "Seconds between agreement and the first measurement: ${DEFAULT-VALUE}.")
    private int settleSeconds;

    @Option(
            names = "--quiet-seconds",
            defaultValue = "10",
            description = "Seconds measured without a change: ${DEFAULT-VALUE}.")
    private int quietSeconds;

    @Option(
            names = "--changes",
            defaultValue = "6",
            description = "Kill, start, leave, start, freeze, thaw in turn: ${DEFAULT-VALUE}.")
    private int changes;

    @Option(
            names = "--nodes",
            defaultValue = "0",
            description =
                    "Cache nodes that the members probe between them; 0: none: ${DEFAULT-VALUE}.")
    private int nodes;

    @Option(
            names = "--steady-figures",
            description = "Members always report the same load and rate.")
    private boolean steadyFigures;

    @Override
    public Integer call() throws IOException, InterruptedException {
        ControlMeasurements.Request request =
                new ControlMeasurements.Request(
                        members,
                        processes,
                        plays,
                        seed,
                        settleSeconds,
                        quietSeconds,
                        changes,
                        nodes,
                        !steadyFigures);
        new ControlMeasurements(request, writer(), System.err).run();
        return 0;
    }

    private static MeasurementWriter writer() {
        return new MeasurementWriter(System.out, MeasurementContext.here());
    }

    /** Runs a share of the fleet's members; started only by the measuring process. */
    @Command(
            name = "process",
            hidden = true,
            description = "Runs members and executes commands from standard input.")
    static final class ProcessCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException, InterruptedException {
            new HollowProcess(System.in, System.out).run();
            return 0;
        }
    }

    /** Measures single executions of the work that iterates over all members or nodes. */
    @Command(
            name = "turns",
            mixinStandardHelpOptions = true,
            description = "Measures the CPU time of single operations on the membership view.")
    static final class TurnsCommand implements Callable<Integer> {
        @Option(
                names = "--members",
                split = ",",
                defaultValue = "150,450,900,1800",
                paramLabel = "N",
                description = "Sizes of the views: ${DEFAULT-VALUE}.")
        private List<Integer> members;

        @Option(
                names = "--nodes",
                split = ",",
                defaultValue = "311",
                paramLabel = "N",
                description = "Numbers of cache nodes: ${DEFAULT-VALUE}.")
        private List<Integer> nodes;

        @Option(
                names = "--plays",
                defaultValue = "3",
                description = "Runs of each size: ${DEFAULT-VALUE}.")
        private int plays;

        @Override
        public Integer call() throws IOException {
            new TurnCosts(new TurnCosts.Request(members, nodes, plays), writer()).run();
            return 0;
        }
    }

    /** Fits regression lines through figures written by earlier measurements. */
    @Command(
            name = "fit",
            mixinStandardHelpOptions = true,
            description = "Fits lines over the sizes through figures written earlier.")
    static final class FitCommand implements Callable<Integer> {
        @Parameters(
                arity = "1..*",
                paramLabel = "FILE",
                description = "JSON lines written by `scale control`.")
        private List<Path> files;

        @Override
        public Integer call() throws IOException {
            ControlFits fits = new ControlFits();
            for (Path file : files) {
                addFile(fits, file);
            }
            fits.write(writer());
            return 0;
        }

        private static void addFile(ControlFits fits, Path file) {
            try {
                for (String line : Files.readAllLines(file)) {
                    fits.addLine(line);
                }
            } catch (IOException e) {
                throw new ConfigurationException(file.toString(), "cannot be read as JSON lines");
            }
        }
    }
}
