package cairnbridge.proxy;

import cairnbridge.admin.AdminOperations;
import cairnbridge.admin.AdminServer;
import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ConfigurationException;
import cairnbridge.config.FleetConfig;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.TimeBudget;
import cairnbridge.decision.WarmStartState;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.recovery.StateKeeper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Puts one proxy together: the reactor, the owner thread, the watch; starts it and brings it to its
 * end.
 */
public final class ProxyServer implements AdminOperations {
    private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());

    /** After the last op in time, until no more connections are taken. */
    private static final long CLOSE_GRACE_MILLIS = 200;

    private static final long DRAIN_POLL_MILLIS = 10;
    private static final long CONNECTION_CHECK_MILLIS = 200;
    private static final long WARM_START_SAVE_MILLIS = 1000;

    /**
     * Each connection has a few notices out at most, so that this queue is never full in practice.
     */
    private static final int EVENTS_PER_SOCKET = 8;

    /** The thread that decides, as thread dumps name it. */
    static final String OWNER_THREAD_NAME = "owner";

    private final ProxyConfig config;
    private final ListenerState listenerState;
    private final ConnectionReactor reactor;
    private final ProxyMetrics metrics;
    private final SiblingProcesses siblings;
    private final MaintenanceMarks maintenanceMarks;
    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "learnt");
    private final RequestCoordinator coordinator;
    private final EventQueue eventQueue;
    private final DiscoveryWatch discoveryWatch;
    private final ScheduledExecutorService scheduler;
    private final Thread ownerThread;
    private final Runnable onFatalError;
    private volatile boolean stopping;
    private volatile AdminServer adminServer;

    /** Null where this proxy is alone, as on the platform. */
    private volatile FleetMember fleetMember;

    /** Null where nothing is kept over a loss of power. */
    private volatile StatePersistence statePersistence;

    /** whenBroken is run if a thread that the proxy cannot do without ends before its time. */
    public ProxyServer(ProxyConfig config, Runnable whenBroken) {
        this(config, whenBroken, new TickClock());
    }

    /**
     * before: what the one before had learnt, from a better source than the configuration's file.
     */
    public ProxyServer(ProxyConfig config, Runnable whenBroken, WarmStartState before) {
        this(config, whenBroken, new TickClock(), before);
    }

    ProxyServer(ProxyConfig config, Runnable whenBroken, TickClock clock) {
        this(config, whenBroken, clock, WarmStartState.EMPTY);
    }

    private ProxyServer(
            ProxyConfig config, Runnable whenBroken, TickClock clock, WarmStartState before) {
        this.config = config;
        this.onFatalError = whenBroken;
        eventQueue = new EventQueue(EVENTS_PER_SOCKET * config.network().maxSockets());
        metrics = new ProxyMetrics(config.names().categories());
        siblings = new SiblingProcesses(config.stateFolder());
        listenerState = new ListenerState(clock, config.names().categories(), metrics);
        reactor =
                new ConnectionReactor(
                        config, eventQueue, listenerState, this::createCriticalThread);
        scheduler =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "roster");
                            thread.setDaemon(true);
                            return thread;
                        },
                        new ThreadPoolExecutor.DiscardPolicy());
        discoveryWatch = new DiscoveryWatch(config, reactor, eventQueue, scheduler, metrics);
        // Guards against a hold that is refused, and kept by nobody, while a starting process has
        // no list.
        maintenanceMarks =
                new MaintenanceMarks(
                        config.stateFolder(),
                        eventQueue,
                        node -> discoveryWatch.isListed(node) || !discoveryWatch.hasList(),
                        siblings::hasSiblings);
        WarmStartState learnt = config.readWarmStart();
        coordinator =
                new RequestCoordinator(
                        config,
                        eventQueue,
                        clock,
                        reactor,
                        discoveryWatch,
                        before.recordedAt() > learnt.recordedAt() ? before : learnt,
                        metrics);
        ownerThread = createCriticalThread(coordinator);
        ownerThread.setName(OWNER_THREAD_NAME);
    }

    /**
     * Guards against a proxy that stands but serves nobody: the library ends a thread on some
     * faults.
     */
    private Thread createCriticalThread(Runnable task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } finally {
                                if (!stopping) {
                                    LOG.severe(config.name() + " cannot go on, a thread has ended");
                                    onFatalError.run();
                                }
                            }
                        });
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Makes this proxy a member of a fleet, with what is kept over a loss of power; before its
     * start. IOException names an address that is taken.
     */
    public void joinFleet(FleetConfig of, Optional<StateKeeper> kept) throws IOException {
        FleetLoadCounters tally =
                new FleetLoadCounters(
                        config.names().zones(), config.settings(), listenerState.clock.now());
        statePersistence =
                kept.map(
                                keeper ->
                                        new StatePersistence(
                                                keeper,
                                                config,
                                                of,
                                                maintenanceMarks,
                                                discoveryWatch,
                                                coordinator,
                                                eventQueue,
                                                listenerState.clock.now()))
                        .orElse(null);
        FleetLink link =
                new FleetLink(
                        config,
                        listenerState.clock,
                        listenerState,
                        coordinator,
                        tally,
                        discoveryWatch,
                        eventQueue,
                        statePersistence == null ? null : statePersistence.recoveryLink());
        String staff = config.network().admin().map(ProxyServer::hostAndPort).orElse("");
        fleetMember =
                new FleetMember(
                        of,
                        config.settings().proxy().count(),
                        new FleetMember.Addresses(hostAndPort(config.network().listen()), staff),
                        config.seed(),
                        statePersistence == null
                                ? FleetMember.PlanEpochs.NONE
                                : statePersistence.planEpochs(),
                        link);
        link.setMember(fleetMember);
        if (statePersistence != null) {
            statePersistence.start(fleetMember);
        }
        coordinator.setLoadCounters(tally);
        discoveryWatch.setPollPermission(fleetMember::mayPollDiscovery);
        metrics.addMetrics(
                () -> {
                    Map<String, Long> gauges = new LinkedHashMap<>(fleetMember.metrics());
                    gauges.putAll(link.placementMetrics());
                    if (statePersistence != null) {
                        gauges.putAll(statePersistence.recoveryLink().metrics());
                    }
                    return gauges;
                });
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Listens, learns the list, and says that it is ready. */
    public void start() throws IOException, InterruptedException {
        if (fleetMember != null) {
            fleetMember.start();
        }
        maintenanceMarks.refresh();
        ownerThread.start();
        if (config.network().admin().isPresent()) {
            adminServer = new AdminServer(config.network().admin().get(), this, metrics);
            createCriticalThread(adminServer).start();
        }
        // Guards against clients that find nobody while a proxy warms up after a restart: it serves
        // them.
        // Where another process does that, they are not to come to one that is cold.
        boolean alone = !siblings.hasSiblings();
        siblings.markRunning();
        reactor.start();
        discoveryWatch.start();
        discoveryWatch.awaitFirstList();
        if (alone) {
            reactor.listen(config.network().listen());
        }
        scheduler.scheduleWithFixedDelay(
                maintenanceMarks::refresh,
                MaintenanceMarks.REFRESH_MILLIS,
                MaintenanceMarks.REFRESH_MILLIS,
                TimeUnit.MILLISECONDS);
        scheduler.scheduleWithFixedDelay(
                () -> {
                    reactor.setSiblingDescriptors(
                            siblings.exchangeDescriptorCounts(reactor.openDescriptors()));
                    reactor.closeOverdue();
                },
                CONNECTION_CHECK_MILLIS,
                CONNECTION_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        // One process alone keeps what it has learnt, for the next to start beside it.
        scheduler.scheduleWithFixedDelay(
                () -> {
                    if (listenerState.isReady() && !siblings.hasSiblings()) {
                        writeWarmStartFile();
                    }
                },
                WARM_START_SAVE_MILLIS,
                WARM_START_SAVE_MILLIS,
                TimeUnit.MILLISECONDS);
        new Warmup(config, reactor, listenerState, alone).run();
        if (!alone) {
            reactor.listen(config.network().listen());
        }
        listenerState.startServing();
        siblings.markReady();
        LOG.info(config.name() + " serves on " + reactor.address());
    }

    /** Where clients connect. */
    public InetSocketAddress address() throws IOException {
        return reactor.address();
    }

    /** What this process holds of its descriptors for connections, dials under way among them. */
    int openDescriptors() {
        return reactor.openDescriptors();
    }

    /** Ends each client's connection, at once or with the answer that is owed on it. */
    void finishClients() {
        reactor.finishClients();
    }

    /** Where staff call; null where the configuration names no place. */
    public InetSocketAddress adminAddress() throws IOException {
        return adminServer == null ? null : adminServer.address();
    }

    @Override
    public boolean isReady() {
        return listenerState.isReady();
    }

    @Override
    public Optional<String> fleetStatus(String call, String id) {
        FleetMember mine = fleetMember;
        return mine == null ? Optional.empty() : mine.status(call, id);
    }

    @Override
    public Optional<CompletableFuture<String>> zoneCommand(String line) {
        FleetMember mine = fleetMember;
        return mine == null ? Optional.empty() : mine.zoneCommand(line);
    }

    @Override
    public Optional<String> recoveryStatus() {
        return Optional.ofNullable(statePersistence).map(mine -> mine.recoveryLink().statusText());
    }

    @Override
    public CompletableFuture<Boolean> setMaintenance(String node, boolean on) {
        return maintenanceMarks.setMaintenance(node, on);
    }

    @Override
    public void setStandby(boolean on) {
        LOG.info(config.name() + (on ? " sends clients away" : " takes clients again"));
        listenerState.setStandby(on);
    }

    /** Reads the configuration again; only where discovery is counts before the next start. */
    public void reload(Supplier<ProxyConfig> configuration) {
        try {
            ProxyConfig fresh = configuration.get();
            discoveryWatch.setDiscoveryAddress(fresh.network().discovery());
            LOG.info(config.name() + " has reloaded, discovery is " + fresh.network().discovery());
        } catch (ConfigurationException e) {
            LOG.severe(config.name() + " keeps its configuration: " + e.getMessage());
        }
    }

    /**
     * A planned end: serves on while an op can still be answered, finishes what it has, and stops.
     */
    public void drain() {
        if (stopping) {
            return; // Guards against a wait for clients where none could ever come.
        }
        LOG.info(config.name() + " drains, " + coordinator.activeRequestCount() + " ops under way");
        long longest =
                config.settings().categories().stream().mapToLong(c -> c.ttl()).max().orElse(0);
        long longestMillis = longest / TickClock.TICKS_PER_MILLI;
        // Guards against a TTL of the settings that is longer than the platform waits before it
        // kills.
        long serves = TimeBudget.shutdownServingMillis(longestMillis);
        long until = System.nanoTime() + TimeBudget.shutdownEndMillis(longestMillis) * 1_000_000;
        long answers =
                listenerState.clock.now()
                        + TimeBudget.shutdownAnsweringMillis(longestMillis)
                                * TickClock.TICKS_PER_MILLI;
        listenerState.setShutdownDeadline(answers);
        eventQueue.post(new ProxyEvent.ShutdownRequested(answers));
        try {
            if (siblings.hasReadySuccessor()) {
                drainToSuccessor(
                        until - (TimeBudget.shutdownEndMillis(longestMillis) - serves) * 1_000_000);
            } else {
                // Guards against a gap while the one restarted before is not ready yet: clients
                // whose
                // connections stay open go on being served here, no op being kept beyond the end.
                Thread.sleep(serves);
                listenerState.startDraining();
                Thread.sleep(CLOSE_GRACE_MILLIS);
                stopping = true;
                reactor.stopListening();
            }
            do {
                reactor.closeIdleClients();
                Thread.sleep(DRAIN_POLL_MILLIS);
                // Guards against an answer cut short: its connection goes when its last byte is
                // written.
            } while ((coordinator.activeRequestCount() > 0 || reactor.clientConnectionCount() > 0)
                    && System.nanoTime() < until);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            if (fleetMember != null) {
                fleetMember.leave();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stop();
        LOG.info(
                config.name()
                        + " ends, "
                        + coordinator.activeRequestCount()
                        + " ops under way, broken: "
                        + coordinator.invariantViolations());
    }

    /**
     * Guards against requests that meet a closed connection: each connection goes with its next
     * answer.
     */
    private void drainToSuccessor(long until) throws InterruptedException {
        stopping = true;
        listenerState.startDraining();
        reactor.stopListening();
        LOG.info(config.name() + " is replaced by a younger process");
        while (reactor.clientConnectionCount() > 0 && System.nanoTime() < until) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private void writeWarmStartFile() {
        try {
            config.writeWarmStart(coordinator.warmStartState());
        } catch (IOException e) {
            deduplicatedLog.warnOnce("not kept, " + e);
        }
    }

    /** Begins the planned end. */
    public void stop() {
        stopping = true;
        coordinator.stop();
        if (adminServer != null) {
            adminServer.stop();
        }
        if (fleetMember != null) {
            fleetMember.stop();
        }
        scheduler.shutdownNow();
        siblings.removeMarks();
        try {
            reactor.stop();
            ownerThread.join();
            writeWarmStartFile();
            if (statePersistence != null) {
                statePersistence.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
