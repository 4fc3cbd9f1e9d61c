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

/** The command line of the service. */
@Command(
        name = "cairnbridge",
        mixinStandardHelpOptions = true,
        version = "cairnbridge 0.1.0",
        description = "Routes ops to a fleet of cache servers.",
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

    /** The exit status of a proxy that cannot go on; the platform starts it again. */
    private static final int BROKEN = 4;

    private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

    /** Runs one command and exits with its status. */
    public static void main(String[] args) {
        System.setProperty("java.util.logging.manager", LastingLogs.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
        // Guards against a slow restart: the library's classes are too old for the class archive,
        // and loading
        // them takes a quarter of the start. The plain form of the command does without them.
        System.exit(
                args.length == 1 && args[0].equals("serve")
                        ? serve()
                        : commandLine().execute(args));
    }

    /** All commands, with faults said in one line. */
    static CommandLine commandLine() {
        return new CommandLine(new Main())
                .setExecutionExceptionHandler(Main::faulty)
                .setParameterExceptionHandler(Main::misread);
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

    /** What cannot be used is said in one line; any other exception is the library's to show. */
    private static int faulty(Exception e, CommandLine command, ParseResult parsed)
            throws Exception {
        if (!(e instanceof MalformedInputException
                || e instanceof ConfigurationException
                || e instanceof ScenarioFault)) {
            throw e;
        }
        command.getErr().println(e.getMessage());
        return 2;
    }

    /** An option that cannot be read is said in one line; a missing command shows all of them. */
    private static int misread(CommandLine.ParameterException e, String[] args) {
        CommandLine command = e.getCommandLine();
        command.getErr().println(e.getMessage());
        boolean isCommandMissing = e.getClass() == CommandLine.ParameterException.class;
        if (isCommandMissing && e.getArgSpec() == null) {
            command.usage(command.getErr());
        }
        return 2;
    }

    private static void end() {
        Runtime.getRuntime().halt(BROKEN);
    }

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(spec.commandLine(), "a command is needed");
    }

    /** Answers batches of events on standard input with decisions. */
    @Command(
            name = "adapter",
            description = "Speaks the bench's wire on standard input and output.")
    static final class AdapterCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException {
            new Adapter(System.in, System.out).run();
            return 0;
        }
    }

    /** Runs one proxy. */
    @Command(name = "serve", description = "Runs one proxy on sockets, as its environment says.")
    static final class ServeCommand implements Callable<Integer> {
        @Option(
                names = "--fleet",
                paramLabel = "FILE",
                description = "Joins the fleet that this file describes (deploy/fleet.toml).")
        private String fleet;

        @Override
        public Integer call() throws InterruptedException {
            ClassDataArchive.logIfUnused();
            ProxyConfig config = ProxyConfig.read(System.getenv());
            FleetConfig member = fleet == null ? null : FleetConfig.read(fleet, config.name());
            Optional<DurableState> durableState =
                    member == null ? Optional.empty() : openDurableState(member);
            ProxyServer serve =
                    new ProxyServer(
                            config,
                            Main::end,
                            durableState
                                    .map(DurableState::restoredWarmStartState)
                                    .orElse(WarmStartState.EMPTY));
            try {
                if (member != null) {
                    serve.joinFleet(
                            durableState
                                    .map(
                                            mine ->
                                                    member.withPersisted(
                                                            mine.generation(),
                                                            mine.persistedPeerEndpoints()))
                                    .orElse(member),
                            durableState);
                }
                // Guards against the machine's own answer to SIGHUP, which is to end.
                ReloadTrigger.install(
                        ProxyConfig.file(System.getenv()),
                        () -> serve.reload(() -> ProxyConfig.read(System.getenv())));
                Runtime.getRuntime().addShutdownHook(new Thread(serve::drain, "drain"));
                serve.start();
                Thread.currentThread().join();
                return 0;
            } catch (IOException e) {
                System.err.println(e.getMessage());
                serve.stop();
                return 1;
            }
        }
    }

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

    /** Runs one proxy for a moment, so that a class-data archive can be made. */
    @Command(
            name = "rehearse",
            hidden = true,
            description =
                    "Starts a proxy, warms it and ends; the build records the classes it needs.")
    static final class RehearseCommand implements Callable<Integer> {
        @Override
        public Integer call() throws IOException, InterruptedException {
            ClassDataArchive.logIfUnused(); // As serve does, so that its classes are recorded.
            ProxyServer serve = new ProxyServer(ProxyConfig.rehearsal(), Main::end);
            serve.start();
            serve.stop();
            return 0;
        }
    }
}
