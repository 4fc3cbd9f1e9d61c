package cairnbridge.proxy;

import cairnbridge.admin.AdminOperations;
import cairnbridge.admin.AdminServer;
import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.recovery.DurableState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * One proxy process. It is created, joined to a fleet if one is configured, started once, and ended
 * by {@link #drain} or {@link #stop}. The admin endpoint calls the {@link AdminOperations} on its
 * own thread; any thread may call {@link #reload} and {@link #drain}.
 */
public final class ProxyServer implements AdminOperations {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());

    /** The name of the coordinator thread in thread dumps. */
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
     * Creates a proxy, which {@link #start} starts.
     *
     * @param onFatalError runs if a thread without which the proxy cannot work ends unexpectedly
     */
    public ProxyServer(ProxyConfig config, Runnable onFatalError) {
        this(config, onFatalError, new TickClock());
    }

    /**
     * Creates a proxy that takes over what an earlier process learnt.
     *
     * @param onFatalError runs if a thread without which the proxy cannot work ends unexpectedly
     * @param previousRun what an earlier process learnt, from the state that survives a power loss;
     *     used unless the warm start file is newer
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
        this.config = config.withoutInitialEndpoints();
        criticalThreads = new CriticalThreads(config.name(), onFatalError);
        components = ProxyComponents.create(config, criticalThreads, clock, previousRun);
        periodicTasks = new PeriodicTasks(components);
        ownerThread = criticalThreads.newThread(components.coordinator());
        ownerThread.setName(OWNER_THREAD_NAME);
    }

    /**
     * Makes this proxy a member of a fleet; called before the start.
     *
     * @param durableState the persisted state; empty if none is configured
     * @throws IOException if an address is not available; the message names the address
     */
    public void joinFleet(FleetConfig fleetConfig, Optional<DurableState> durableState)
            throws IOException {
        FleetLoadCounters loadCounters =
                new FleetLoadCounters(
                        config.names().zones(), config.settings(), components.clock().now());
        // Assigned before the join, so that stop() also stops it after a join that has failed.
        if (durableState.isPresent()) {
            persistence = new StatePersistence(components, fleetConfig, durableState.get());
        }
        fleet = FleetMembership.join(components, fleetConfig, loadCounters, persistence);
    }

    /**
     * Starts to listen, gets the endpoint list, and returns once the proxy is ready for clients.
     *
     * @throws IOException if an address is not available; the message names the address
     */
    public void start() throws IOException, InterruptedException {
        ListenerState listenerState = components.listenerState();
        SiblingProcesses siblings = components.siblings();
        ConnectionReactor reactor = components.reactor();
        fleet.start();
        components.maintenanceMarkers().refresh();
        ownerThread.start();
        startAdminServer();
        // Guards against refused connections while a restarted proxy warms up: it listens before
        // its warm-up. If a sibling serves meanwhile, it listens only afterwards, so that no
        // client reaches a process that is not warmed up.
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

    /** The address on which the proxy accepts requests. */
    public InetSocketAddress address() throws IOException {
        return components.reactor().address();
    }

    /** The address of the admin endpoint; null if the configuration names none. */
    public InetSocketAddress adminAddress() throws IOException {
        Optional<AdminServer> server = adminServer;
        return server.isPresent() ? server.get().address() : null;
    }

    /**
     * For tests only: the descriptors in use for connections, including those that are being
     * opened.
     */
    int openDescriptors() {
        return components.reactor().openDescriptors();
    }

    /**
     * For tests only: closes each client connection, at once if it is idle, otherwise with the
     * answer in progress.
     */
    void finishClients() {
        components.reactor().closeClientsGracefully();
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
        return components.maintenanceMarkers().setMaintenance(node, on);
    }

    @Override
    public void setStandby(boolean on) {
        LOG.log(Level.INFO, on ? "{0} is in standby" : "{0} has left standby", config.name());
        components.listenerState().setStandby(on);
    }

    /**
     * Reads the configuration again; only a new discovery address takes effect before a restart.
     */
    public void reload(Supplier<ProxyConfig> reader) {
        new ConfigurationReload(config.name(), components.discoveryWatch()).reload(reader);
    }

    /**
     * Shuts the proxy down gracefully: continues to serve while a new request can still be
     * answered, finishes the requests in flight, and stops. This takes a bounded time.
     */
    public void drain() {
        if (criticalThreads.isStopping()) {
            return; // Guards against waiting for clients of a proxy that is already stopped.
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

    /** Stops everything at once, also after a failed start, and writes the warm start file. */
    public void stop() {
        criticalThreads.markStopping();
        components.coordinator().stop();
        adminServer.ifPresent(AdminServer::stop);
        fleet.stop();
        components.scheduler().shutdownNow();
        components.siblings().removeMarkers();
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
