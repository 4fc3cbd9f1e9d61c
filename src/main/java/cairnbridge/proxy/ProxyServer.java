package cairnbridge.proxy;

import cairnbridge.admin.AdminOperations;
import cairnbridge.admin.AdminServer;
import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.recovery.StateKeeper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One proxy, from its start to its end. It is made, joined to a fleet if it has one, started once
 * and then ended by {@link #drain}, or by {@link #stop}. The admin endpoint calls the {@link
 * AdminOperations} on a thread of its own; {@link #reload} and {@link #drain} come on any thread.
 */
public final class ProxyServer implements AdminOperations {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());

    /** The thread of the coordinator, as thread dumps name it. */
    static final String OWNER_THREAD_NAME = "owner";

    private final ProxyConfig config;
    private final CriticalThreads criticalThreads;
    private final ProxyComponents components;
    private final PeriodicTasks periodicTasks;
    private final Thread ownerThread;
    private volatile Optional<AdminServer> adminServer = Optional.empty();
    private volatile Persistence persistence = Persistence.NONE;
    private volatile FleetParticipation fleet = FleetParticipation.NONE;

    /**
     * Makes a proxy.
     *
     * @param onFatalError runs if a thread that the proxy cannot do without ends too early
     */
    public ProxyServer(ProxyConfig config, Runnable onFatalError) {
        this(config, onFatalError, new TickClock());
    }

    /**
     * Makes a proxy.
     *
     * @param onFatalError runs if a thread that the proxy cannot do without ends too early
     * @param previousRun what an earlier process learnt, from a better source than the warm start
     *     file; used unless that is younger
     */
    public ProxyServer(ProxyConfig config, Runnable onFatalError, WarmStartState previousRun) {
        this(config, onFatalError, new TickClock(), previousRun);
    }

    ProxyServer(ProxyConfig config, Runnable onFatalError, TickClock clock) {
        this(config, onFatalError, clock, WarmStartState.EMPTY);
    }

    private ProxyServer(
            ProxyConfig config,
            Runnable onFatalError,
            TickClock clock,
            WarmStartState previousRun) {
        this.config = config;
        criticalThreads = new CriticalThreads(config.name(), onFatalError);
        components = ProxyComponents.create(config, criticalThreads, clock, previousRun);
        periodicTasks = new PeriodicTasks(components);
        ownerThread = criticalThreads.newThread(components.coordinator());
        ownerThread.setName(OWNER_THREAD_NAME);
    }

    /**
     * Makes this proxy a member of a fleet; before its start.
     *
     * @param stateKeeper what was persisted before a power loss; empty if nothing is persisted
     * @throws IOException if an address is not available, which the message names
     */
    public void joinFleet(FleetConfig fleetConfig, Optional<StateKeeper> stateKeeper)
            throws IOException {
        FleetLoadCounters loadCounters =
                new FleetLoadCounters(
                        config.names().zones(), config.settings(), components.clock().now());
        // Set first, so that stop() ends it where an address of the fleet is not available.
        if (stateKeeper.isPresent()) {
            persistence = new StatePersistence(components, fleetConfig, stateKeeper.get());
        }
        fleet = FleetMembership.join(components, fleetConfig, loadCounters, persistence);
    }

    /**
     * Listens, gets the endpoint list, and returns once the proxy is ready for clients.
     *
     * @throws IOException if an address is not available, which the message names
     */
    public void start() throws IOException, InterruptedException {
        ListenerState listenerState = components.listenerState();
        SiblingProcesses siblings = components.siblings();
        ConnectionReactor reactor = components.reactor();
        fleet.start();
        components.maintenanceMarks().refresh();
        ownerThread.start();
        startAdminServer();
        // Guards against clients that find nobody while a proxy warms up after a restart: it serves
        // them. If a sibling does that, they are not to come to a process that is cold.
        boolean hasSiblings = siblings.hasSiblings();
        siblings.markRunning();
        reactor.start();
        components.discoveryWatch().start();
        components.discoveryWatch().awaitFirstList();
        if (!hasSiblings) {
            reactor.listen(config.network().listen());
        }
        periodicTasks.start();
        new Warmup(config, reactor, listenerState, !hasSiblings).run();
        if (hasSiblings) {
            reactor.listen(config.network().listen());
        }
        listenerState.startServing();
        siblings.markReady();
        LOG.log(Level.INFO, "{0} serves on {1}", new Object[] {config.name(), reactor.address()});
    }

    private void startAdminServer() throws IOException {
        Optional<InetSocketAddress> address = config.network().admin();
        if (address.isPresent()) {
            AdminServer server = new AdminServer(address.get(), this, components.metrics());
            adminServer = Optional.of(server);
            criticalThreads.newThread(server).start();
        }
    }

    /** The address on which it takes requests. */
    public InetSocketAddress address() throws IOException {
        return components.reactor().address();
    }

    /** The address of the admin endpoint; null if the configuration names none. */
    public InetSocketAddress adminAddress() throws IOException {
        Optional<AdminServer> server = adminServer;
        return server.isPresent() ? server.get().address() : null;
    }

    /**
     * For tests alone: the descriptors in use for connections, among them those that are being
     * opened.
     */
    int openDescriptors() {
        return components.reactor().openDescriptors();
    }

    /**
     * For tests alone: closes the connection of each client, at once or with the answer that it
     * waits for.
     */
    void finishClients() {
        components.reactor().finishClients();
    }

    @Override
    public boolean isReady() {
        return components.listenerState().isReady();
    }

    @Override
    public Optional<String> fleetStatus(String command, String id) {
        return fleet.status(command, id);
    }

    @Override
    public Optional<CompletableFuture<String>> zoneCommand(String line) {
        return fleet.zoneCommand(line);
    }

    @Override
    public Optional<String> recoveryStatus() {
        return persistence.recoveryStatus();
    }

    @Override
    public CompletableFuture<Boolean> setMaintenance(String node, boolean on) {
        return components.maintenanceMarks().setMaintenance(node, on);
    }

    @Override
    public void setStandby(boolean on) {
        LOG.log(Level.INFO, on ? "{0} is in standby" : "{0} has left standby", config.name());
        components.listenerState().setStandby(on);
    }

    /** Reads the configuration again; until the next start only discovery's address counts. */
    public void reload(Supplier<ProxyConfig> reader) {
        new ConfigurationReload(config.name(), components.discoveryWatch()).reload(reader);
    }

    /**
     * The planned end: serves on while a request can still be answered, finishes what it has, and
     * stops. It takes a bounded time.
     */
    public void drain() {
        if (criticalThreads.isStopping()) {
            return; // Guards against a wait for clients where none could ever come.
        }
        new GracefulShutdown(components).drain();
        try {
            fleet.leave();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stop();
        RequestCoordinator coordinator = components.coordinator();
        LOG.log(
                Level.INFO,
                "{0} stopped, {1} requests in flight, invariant violations: {2}",
                new Object[] {
                    config.name(),
                    Integer.toString(coordinator.activeRequestCount()),
                    coordinator.invariantViolations()
                });
    }

    /** Ends everything at once, also where the start has failed, and saves what was learnt. */
    public void stop() {
        criticalThreads.allowEnds();
        components.coordinator().stop();
        adminServer.ifPresent(AdminServer::stop);
        fleet.stop();
        components.scheduler().shutdownNow();
        components.siblings().removeMarks();
        try {
            components.reactor().stop();
            ownerThread.join();
            periodicTasks.writeWarmStartFile();
            persistence.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
