package cairnbridge.cli;

import cairnbridge.adapter.Adapter;
import cairnbridge.adapter.MalformedInputException;
import cairnbridge.config.ConfigurationException;
import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.WarmStartState;
import cairnbridge.drill.scenario.ScenarioFault;
import cairnbridge.proxy.ClassDataArchive;
import cairnbridge.proxy.ProxyServer;
import cairnbridge.recovery.DurableState;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.logging.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParseResult;
import picocli.CommandLine.Spec;

/** The top-level command; dispatches to the subcommands. */
@Command(
        name = "cairnbridge",
        mixinStandardHelpOptions = true,
        version = "cairnbridge 0.1.0",
        description = "Routes requests to a fleet of cache servers.",
        subcommands = {
            Main.AdapterCommand.class,
            Main.ServeCommand.class,
            Main.RehearseCommand.class,
            MembersCommand.class,
            DrillCommand.class,
            DemoCommand.class,
            SimulateCommand.class,
            ZonesCommand.class,
            RecoveryCommand.class,
            FuzzCommand.class,
            LabCommand.class,
            ScaleCommand.class
        })
public final class Main implements Callable<Integer> {
    @Spec private CommandSpec spec;

    /** Exit status after a critical thread has ended; the platform then restarts the proxy. */
    private static final int CRITICAL_FAILURE_STATUS = 4;

    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", NonResettingLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
        // Guards against a slow restart: picocli's class files are too old for the class data
        // archive, and loading them takes a quarter of the startup time. The command "serve"
        // without arguments does not load them.
        System.exit(
                args.length == 1 && args[0].equals("serve")
                        ? serve()
                        : commandLine().execute(args));
    }

    /** Creates the command line; input errors are reported in one line. */
    static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler(Main::handleExecutionException)
                .setParameterExceptionHandler(Main::handleParameterException);
    }

    private static int serve() {
        try {
            return new ServeCommand().call();
        } catch (ConfigurationException e) {
            System.err.println(e.getMessage());
            return 2;
        } catch (InterruptedException e) {
            return 1;
        }
    }

    /** Reports an input error in one line; rethrows any other exception for picocli to print. */
    private static int handleExecutionException(
            Exception e, CommandLine command, ParseResult parsed) throws Exception {
        if (!(e instanceof MalformedInputException
                || e instanceof ConfigurationException
                || e instanceof ScenarioFault)) {
            throw e;
        }
        command.getErr().println(e.getMessage());
        return 2;
    }

    /** Reports an invalid option in one line; prints the usage if a command is missing. */
    private static int handleParameterException(CommandLine.ParameterException e, String[] args) {
        CommandLine command = e.getCommandLine();
        command.getErr().println(e.getMessage());
        boolean isCommandMissing = e.getClass() == CommandLine.ParameterException.class;
        if (isCommandMissing && e.getArgSpec() == null) {
            command.usage(command.getErr());
        }
        return 2;
    }

    private static void haltAfterCriticalFailure() {
        Runtime.getRuntime().halt(CRITICAL_FAILURE_STATUS);
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Reads batches of events from standard input and writes the routing decisions. */
    @Command(
            name = "adapter",
            mixinStandardHelpOptions = true,
            description = "Speaks the bench's protocol on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            new Adapter(System.in, System.out).run();
            return 0;
        }
    }

    /** Runs one proxy. */
    @Command(
            name = "serve",
            mixinStandardHelpOptions = true,
            description = "Runs one proxy, configured by environment variables.")
    static final class ServeCommand implements Callable<Integer> {
        @Option(
                names = "--fleet",
                paramLabel = "FILE",
                description = "Joins the fleet that this file describes (deploy/fleet.toml).")
        private String fleet;

        @Override
        public Integer call() throws InterruptedException {
            ClassDataArchive.logIfUnused();
            PreparedProxy prepared = prepare();
            ProxyServer server = prepared.server();
            FleetConfig member = prepared.member();
            Optional<DurableState> durableState = prepared.durableState();
            try {
                if (member != null) {
                    server.joinFleet(
                            durableState
                                    .map(
                                            opened ->
                                                    member.withPersisted(
                                                            opened.generation(),
                                                            opened.persistedPeerEndpoints()))
                                    .orElse(member),
                            durableState);
                }
                // Guards against the JVM's default handling of SIGHUP, which ends the process.
                ReloadTrigger.install(
                        ProxyConfig.file(System.getenv()),
                        () -> server.reload(() -> ProxyConfig.read(System.getenv())));
                Runtime.getRuntime().addShutdownHook(new Thread(server::drain, "drain"));
                server.start();
                Thread.currentThread().join();
                return 0;
            } catch (IOException e) {
                System.err.println(e.getMessage());
                server.stop();
                return 1;
            }
        }

        /**
         * Creates the proxy. Guards against keeping the configuration's endpoint list in memory for
         * as long as the proxy runs: only this method refers to the whole configuration.
         */
        private PreparedProxy prepare() throws InterruptedException {
            ProxyConfig config = ProxyConfig.read(System.getenv());
            FleetConfig member = fleet == null ? null : FleetConfig.read(fleet, config.name());
            Optional<DurableState> durableState =
                    member == null ? Optional.empty() : openDurableState(member);
            ProxyServer server =
                    new ProxyServer(
                            config,
                            Main::haltAfterCriticalFailure,
                            durableState
                                    .map(DurableState::restoredWarmStartState)
                                    .orElse(WarmStartState.EMPTY));
            return new PreparedProxy(server, member, durableState);
        }
    }

    /**
     * A proxy that has not joined its fleet yet.
     *
     * @param member the configuration of its fleet; null if it joins none
     */
    private record PreparedProxy(
            ProxyServer server, FleetConfig member, Optional<DurableState> durableState) {}

    private static Optional<DurableState> openDurableState(FleetConfig member)
            throws InterruptedException {
        return member.recovery().isEmpty()
                ? Optional.empty()
                : Optional.of(
                        DurableState.open(
                                member.recovery().get(),
                                member.transport().identity().generation(),
                                line -> Logger.getLogger(Main.class.getName()).info(line)));
    }

    /** Starts and stops a proxy so that the build can record a class data archive. */
    @Command(
            name = "rehearse",
            hidden = true,
            description =
                    "Starts a proxy, warms it up and exits; the build records the loaded classes.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException, InterruptedException {
            ClassDataArchive.logIfUnused(); // Called as in serve, so that its classes are recorded.
            ProxyServer server =
                    new ProxyServer(ProxyConfig.rehearsal(), Main::haltAfterCriticalFailure);
            server.start();
            server.stop();
            return 0;
        }
    }
}
