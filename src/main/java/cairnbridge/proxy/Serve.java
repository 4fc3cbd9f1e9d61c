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
public final class Serve implements AdminOperations {
    private static final Logger LOG = Logger.getLogger(Serve.class.getName());

    /** After the last op in time, until no more connections are taken. */
    private static final long CLOSING_MILLIS = 200;

    private static final long STEP_MILLIS = 10;
    private static final long LOOK_MILLIS = 200;
    private static final long KEEP_MILLIS = 1000;

    /**
     * Each connection has a few notices out at most, so that this queue is never full in practice.
     */
    private static final int NOTICES_PER_SOCKET = 8;

    /** The thread that decides, as thread dumps name it. */
    static final String OWNER = "owner";

    private final ProxyConfig config;
    private final Listen listen;
    private final Sockets sockets;
    private final ProxyMetrics figures;
    private final Beside beside;
    private final Maintenance maintenance;
    private final OddityLog odd = new OddityLog(LOG, "learnt");
    private final Decide decide;
    private final Inbox inbox;
    private final RosterWatch watch;
    private final ScheduledExecutorService timer;
    private final Thread owner;
    private final Runnable whenBroken;
    private volatile boolean stopping;
    private volatile AdminServer door;

    /** Null where this proxy is alone, as on the platform. */
    private volatile FleetMember fleet;

    /** Null where nothing is kept over a loss of power. */
    private volatile Keeping keeping;

    /** whenBroken is run if a thread that the proxy cannot do without ends before its time. */
    public Serve(ProxyConfig config, Runnable whenBroken) {
        this(config, whenBroken, new Clock());
    }

    /**
     * before: what the one before had learnt, from a better source than the configuration's file.
     */
    public Serve(ProxyConfig config, Runnable whenBroken, WarmStartState before) {
        this(config, whenBroken, new Clock(), before);
    }

    Serve(ProxyConfig config, Runnable whenBroken, Clock clock) {
        this(config, whenBroken, clock, WarmStartState.EMPTY);
    }

    private Serve(ProxyConfig config, Runnable whenBroken, Clock clock, WarmStartState before) {
        this.config = config;
        this.whenBroken = whenBroken;
        inbox = new Inbox(NOTICES_PER_SOCKET * config.network().maxSockets());
        figures = new ProxyMetrics(config.names().categories());
        beside = new Beside(config.stateFolder());
        listen = new Listen(clock, config.names().categories(), figures);
        sockets = new Sockets(config, inbox, listen, this::vital);
        timer =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread thread = new Thread(task, "roster");
                            thread.setDaemon(true);
                            return thread;
                        },
                        new ThreadPoolExecutor.DiscardPolicy());
        watch = new RosterWatch(config, sockets, inbox, timer, figures);
        // Guards against a hold that is refused, and kept by nobody, while a starting process has
        // no list.
        maintenance =
                new Maintenance(
                        config.stateFolder(),
                        inbox,
                        node -> watch.names(node) || !watch.hasNames(),
                        beside::isShared);
        WarmStartState learnt = config.readWarmStart();
        decide =
                new Decide(
                        config,
                        inbox,
                        clock,
                        sockets,
                        watch,
                        before.recordedAt() > learnt.recordedAt() ? before : learnt,
                        figures);
        owner = vital(decide);
        owner.setName(OWNER);
    }

    /**
     * Guards against a proxy that stands but serves nobody: the library ends a thread on some
     * faults.
     */
    private Thread vital(Runnable task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } finally {
                                if (!stopping) {
                                    LOG.severe(config.name() + " cannot go on, a thread has ended");
                                    whenBroken.run();
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
    public void join(FleetConfig of, Optional<StateKeeper> kept) throws IOException {
        FleetLoadCounters tally =
                new FleetLoadCounters(
                        config.names().zones(), config.settings(), listen.clock.now());
        keeping =
                kept.map(
                                keeper ->
                                        new Keeping(
                                                keeper,
                                                config,
                                                of,
                                                maintenance,
                                                watch,
                                                decide,
                                                inbox,
                                                listen.clock.now()))
                        .orElse(null);
        FleetLink link =
                new FleetLink(
                        config,
                        listen.clock,
                        listen,
                        decide,
                        tally,
                        watch,
                        inbox,
                        keeping == null ? null : keeping.link());
        String staff = config.network().admin().map(Serve::text).orElse("");
        fleet =
                new FleetMember(
                        of,
                        config.settings().proxies(),
                        new FleetMember.Addresses(text(config.network().listen()), staff),
                        config.seed(),
                        keeping == null ? FleetMember.PlanEpochs.NONE : keeping.epochs(),
                        link);
        link.of(fleet);
        if (keeping != null) {
            keeping.start(fleet);
        }
        decide.counts(tally);
        watch.callsIf(fleet::mayPollDiscovery);
        figures.addMetrics(
                () -> {
                    Map<String, Long> gauges = new LinkedHashMap<>(fleet.metrics());
                    gauges.putAll(link.gauges());
                    if (keeping != null) {
                        gauges.putAll(keeping.link().gauges());
                    }
                    return gauges;
                });
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Listens, learns the list, and says that it is ready. */
    public void start() throws IOException, InterruptedException {
        if (fleet != null) {
            fleet.start();
        }
        maintenance.look();
        owner.start();
        if (config.network().admin().isPresent()) {
            door = new AdminServer(config.network().admin().get(), this, figures);
            vital(door).start();
        }
        // Guards against clients that find nobody while a proxy warms up after a restart: it serves
        // them.
        // Where another process does that, they are not to come to one that is cold.
        boolean alone = !beside.isShared();
        beside.runs();
        sockets.start();
        watch.start();
        watch.awaitFirst();
        if (alone) {
            sockets.listen(config.network().listen());
        }
        timer.scheduleWithFixedDelay(
                maintenance::look,
                Maintenance.LOOK_MILLIS,
                Maintenance.LOOK_MILLIS,
                TimeUnit.MILLISECONDS);
        timer.scheduleWithFixedDelay(
                () -> {
                    sockets.beside(beside.share(sockets.held()));
                    sockets.closeOverdue();
                },
                LOOK_MILLIS,
                LOOK_MILLIS,
                TimeUnit.MILLISECONDS);
        // One process alone keeps what it has learnt, for the next to start beside it.
        timer.scheduleWithFixedDelay(
                () -> {
                    if (listen.isReady() && !beside.isShared()) {
                        keep();
                    }
                },
                KEEP_MILLIS,
                KEEP_MILLIS,
                TimeUnit.MILLISECONDS);
        new Warm(config, sockets, listen, alone).run();
        if (!alone) {
            sockets.listen(config.network().listen());
        }
        listen.serve();
        beside.ready();
        LOG.info(config.name() + " serves on " + sockets.address());
    }

    /** Where clients connect. */
    public InetSocketAddress address() throws IOException {
        return sockets.address();
    }

    /** What this process holds of its descriptors for connections, dials under way among them. */
    int held() {
        return sockets.held();
    }

    /** Ends each client's connection, at once or with the answer that is owed on it. */
    void finishClients() {
        sockets.finishClients();
    }

    /** Where staff call; null where the configuration names no place. */
    public InetSocketAddress door() throws IOException {
        return door == null ? null : door.address();
    }

    @Override
    public boolean isReady() {
        return listen.isReady();
    }

    @Override
    public Optional<String> fleetStatus(String call, String id) {
        FleetMember mine = fleet;
        return mine == null ? Optional.empty() : mine.status(call, id);
    }

    @Override
    public Optional<CompletableFuture<String>> zoneCommand(String line) {
        FleetMember mine = fleet;
        return mine == null ? Optional.empty() : mine.zoneCommand(line);
    }

    @Override
    public Optional<String> recoveryStatus() {
        return Optional.ofNullable(keeping).map(mine -> mine.link().text());
    }

    @Override
    public CompletableFuture<Boolean> setMaintenance(String node, boolean on) {
        return maintenance.hold(node, on);
    }

    @Override
    public void setStandby(boolean on) {
        LOG.info(config.name() + (on ? " sends clients away" : " takes clients again"));
        listen.sendAway(on);
    }

    /** Reads the configuration again; only where discovery is counts before the next start. */
    public void reload(Supplier<ProxyConfig> configuration) {
        try {
            ProxyConfig fresh = configuration.get();
            watch.move(fresh.network().discovery());
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
        LOG.info(config.name() + " drains, " + decide.live() + " ops under way");
        long longest =
                config.settings().categories().stream().mapToLong(c -> c.ttl()).max().orElse(0);
        long longestMillis = longest / Clock.MILLI;
        // Guards against a TTL of the settings that is longer than the platform waits before it
        // kills.
        long serves = TimeBudget.shutdownServingMillis(longestMillis);
        long until = System.nanoTime() + TimeBudget.shutdownEndMillis(longestMillis) * 1_000_000;
        long answers =
                listen.clock.now()
                        + TimeBudget.shutdownAnsweringMillis(longestMillis) * Clock.MILLI;
        listen.endsBy(answers);
        inbox.post(new Notice.StopBy(answers));
        try {
            if (beside.isReplaced()) {
                handOver(
                        until - (TimeBudget.shutdownEndMillis(longestMillis) - serves) * 1_000_000);
            } else {
                // Guards against a gap while the one restarted before is not ready yet: clients
                // whose
                // connections stay open go on being served here, no op being kept beyond the end.
                Thread.sleep(serves);
                listen.drain();
                Thread.sleep(CLOSING_MILLIS);
                stopping = true;
                sockets.stopListening();
            }
            do {
                sockets.closeIdleClients();
                Thread.sleep(STEP_MILLIS);
                // Guards against an answer cut short: its connection goes when its last byte is
                // written.
            } while ((decide.live() > 0 || sockets.clients() > 0) && System.nanoTime() < until);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        try {
            if (fleet != null) {
                fleet.leave();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stop();
        LOG.info(
                config.name()
                        + " ends, "
                        + decide.live()
                        + " ops under way, broken: "
                        + decide.broken());
    }

    /**
     * Guards against requests that meet a closed connection: each connection goes with its next
     * answer.
     */
    private void handOver(long until) throws InterruptedException {
        stopping = true;
        listen.drain();
        sockets.stopListening();
        LOG.info(config.name() + " is replaced by a younger process");
        while (sockets.clients() > 0 && System.nanoTime() < until) {
            Thread.sleep(STEP_MILLIS);
        }
    }

    private void keep() {
        try {
            config.writeWarmStart(decide.learnt());
        } catch (IOException e) {
            odd.say("not kept, " + e);
        }
    }

    /** Begins the planned end. */
    public void stop() {
        stopping = true;
        decide.stop();
        if (door != null) {
            door.stop();
        }
        if (fleet != null) {
            fleet.stop();
        }
        timer.shutdownNow();
        beside.ends();
        try {
            sockets.stop();
            owner.join();
            keep();
            if (keeping != null) {
                keeping.stop();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
