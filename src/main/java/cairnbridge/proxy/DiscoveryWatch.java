package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ConfigurationException;
import cairnbridge.config.IpAddresses;
import cairnbridge.config.JsonObject;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.TimeBudget;
import cairnbridge.hash.Fnv1a;
import cairnbridge.recovery.EndpointListHistory;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Zone;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.logging.Logger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Follows discovery's list: a watch that is opened again whenever it ends or falls silent. */
final class DiscoveryWatch {
    private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());
    private static final String LIST_PATH = "/api/targets";
    private static final int OK = 200;
    private static final int UNKNOWN_INDEX = 1 << 20;

    private final ProxyConfig config;
    private final ConnectionReactor reactor;
    private final EventQueue eventQueue;

    /** One thread, idle nearly always: it dials again after a wait and notices silence. */
    private final ScheduledExecutorService scheduler;

    private volatile InetSocketAddress discoveryAddress;
    private volatile DiscoveryCall activeCall;

    /**
     * Whether to call now, by how many milliseconds ago this proxy last did; a fleet shares the
     * calls out.
     */
    private volatile LongPredicate pollPermission = sinceCalled -> true;

    private long lastCallNanos = System.nanoTime();
    private long lastCallEndNanos = lastCallNanos;

    /**
     * Guards against a fleet killed together that asks together, again and again: waits are
     * scattered.
     */
    private final RandomGenerator random;

    private volatile long version;

    /** Lists of discovery's below this version are not used; 0 where none was known before. */
    private volatile long versionFloor;

    /** Null where lists are not kept over a loss of power. */
    private EndpointListHistory history;

    private long backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
    private boolean started;
    private boolean watchWanted;
    private boolean listCurrent;
    private boolean discoveryHeard;
    private boolean watchLost;

    /** Open until the first call has brought something, or has failed. */
    private final CountDownLatch firstResult = new CountDownLatch(1);

    private final DeduplicatedLog deduplicatedLog = new DeduplicatedLog(LOG, "roster");

    /** The list's nodes, and whether each is a cache. */
    private final Map<NodeId, Boolean> cacheFlagByNode = new ConcurrentHashMap<>();

    /** The list's caches as plans over zones need them. */
    private final Map<NodeId, ListedNode> listedCaches = new ConcurrentHashMap<>();

    private final ProxyMetrics metrics;

    DiscoveryWatch(
            ProxyConfig config,
            ConnectionReactor sockets,
            EventQueue inbox,
            ScheduledExecutorService timer,
            ProxyMetrics figures) {
        this.metrics = figures;
        this.config = config;
        this.discoveryAddress = config.network().discovery();
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed());
        this.reactor = sockets;
        this.eventQueue = inbox;
        this.scheduler = timer;
    }

    /** The list as this proxy last had it, then the watch, unless the module has to ask for it. */
    void start() {
        if (config.initialEndpoints().has("targets")) {
            publishList(config.initialEndpoints(), ListScope.CACHED);
        }
        scheduler.execute(
                () -> {
                    started = true;
                    watchWanted |= !config.settings().discovery().mustSubscribe();
                    if (watchWanted && activeCall == null) {
                        openWatch();
                    }
                });
        scheduler.scheduleWithFixedDelay(
                this::checkLiveness,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until discovery's word has gone to the owner, or there is none to be had. Guards
     * against ops sent by the list of the configuration: what discovery has counts as told from a
     * process's first moment.
     */
    void awaitFirstList() throws InterruptedException {
        firstResult.await(
                TimeBudget.CALL_TIMEOUT_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void subscribe(boolean on) {
        scheduler.execute(
                () -> {
                    watchWanted = on;
                    // Guards against a module that asks as soon as it is made, when nothing can be
                    // dialled yet.
                    if (on && activeCall == null && started) {
                        openWatch();
                    } else if (!on && activeCall != null) {
                        activeCall.connection.close();
                    }
                });
    }

    /** The whole list, once. */
    void fetch() {
        InetSocketAddress asked = discoveryAddress;
        reactor.connect(
                asked,
                config.network().connectTimeout(),
                new DiscoveryCall(asked, LIST_PATH, false));
    }

    /** Who calls is decided with others from now on. */
    void setPollPermission(LongPredicate may) {
        pollPermission = may;
    }

    /** The version of the list that is held; any thread may ask. */
    long version() {
        return version;
    }

    /** Whether the list comes in right now: one that has missed a beat may be about to be lost. */
    boolean isWatchHealthy() {
        DiscoveryCall now = activeCall;
        return now != null
                && now.statusCode == OK
                && millisSince(now.lastHeardNanos) < TimeBudget.HEARTBEAT_MILLIS * 3 / 2;
    }

    /** Lists are put down in the book from now on; before the start. */
    void setHistory(EndpointListHistory lists) {
        history = lists;
    }

    /** Discovery's lists count from this version on. */
    void setVersionFloor(long floor) {
        versionFloor = floor;
    }

    /**
     * A list that did not come from discovery is in use until that tells one; its text as
     * discovery's.
     */
    void usePersistedList(String text) {
        scheduler.execute(
                () -> {
                    if (discoveryHeard) {
                        return; // Discovery was faster.
                    }
                    try {
                        publishList(JsonObject.parse(text, "kept list"), ListScope.CACHED);
                        listCurrent = false; // The first call asks for the whole list.
                        history.lineReceived(text);
                    } catch (ConfigurationException e) {
                        LOG.warning("roster: a list from before cannot be used: " + e.getMessage());
                    }
                });
    }

    /** Asks discovery for its whole list once more. */
    void refetch() {
        scheduler.execute(
                () -> {
                    listCurrent = false;
                    if (activeCall != null) {
                        activeCall.connection.close();
                    }
                });
    }

    private void openWatch() {
        lastCallNanos = System.nanoTime();
        String after = listCurrent ? "&after=" + version : "";
        activeCall = new DiscoveryCall(discoveryAddress, LIST_PATH + "?watch=1" + after, true);
        reactor.connect(discoveryAddress, config.network().connectTimeout(), activeCall);
    }

    /**
     * Discovery is elsewhere from now on: its whole list counts, and the watch at the old place
     * goes.
     */
    void setDiscoveryAddress(InetSocketAddress there) {
        scheduler.execute(
                () -> {
                    if (there.equals(discoveryAddress)) {
                        return;
                    }
                    discoveryAddress = there;
                    listCurrent = false;
                    backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
                    DiscoveryCall old = activeCall;
                    if (watchWanted) {
                        openWatch();
                    }
                    if (old != null) {
                        old.connection.close();
                    }
                });
    }

    private static long millisSince(long nanoTime) {
        return (System.nanoTime() - nanoTime) / 1_000_000;
    }

    /**
     * Guards against a watch that is open but dead, as discovery writes at least a heartbeat's
     * empty line, and against a call that hangs while discovery is down and goes on hanging once it
     * is back.
     */
    private void checkLiveness() {
        DiscoveryCall call = activeCall;
        if (call == null) {
            return;
        }
        long most =
                call.statusCode == 0
                        ? TimeBudget.CALL_TIMEOUT_MILLIS
                        : TimeBudget.WATCH_SILENCE_MILLIS;
        if (millisSince(call.lastHeardNanos) >= most) {
            LOG.warning(
                    "roster: the "
                            + (call.statusCode == 0 ? "call" : "watch")
                            + " is silent, dialling again");
            call.connection.close();
            handleCallEnded(
                    call); // Whatever becomes of the connection: the next call does not wait for
            // its end.
        }
    }

    private void handleCallEnded(DiscoveryCall call) {
        if (activeCall != call) {
            return;
        }
        activeCall = null;
        firstResult.countDown();
        lastCallEndNanos = System.nanoTime();
        // Guards against a wait grown long before: one that has held for a while is called again at
        // once.
        if (call.statusCode == OK
                && millisSince(call.startedAtNanos) >= TimeBudget.HEARTBEAT_MILLIS) {
            backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
        }
        if (config.settings().discovery().mustSubscribe()) {
            watchWanted = false;
            eventQueue.post(
                    new ProxyEvent.EndpointListChanged(
                            new Event.EndpointListReceived(ListScope.FAILED, version, List.of()),
                            Map.of()));
        } else if (watchWanted) {
            if (!watchLost) {
                watchLost = true;
                LOG.warning("roster: the watch is lost, version " + version + " stays");
            }
            scheduleRetry();
        }
    }

    /**
     * Backoff with jitter, bounded from the end of the last call on, whoever else may be to call.
     */
    private void scheduleRetry() {
        long left = TimeBudget.MAX_BACKOFF_MILLIS - millisSince(lastCallEndNanos);
        long wait = backoffMillis / 2 + random.nextLong(backoffMillis / 2 + 1);
        backoffMillis = Math.min(TimeBudget.MAX_BACKOFF_MILLIS, backoffMillis * 2);
        scheduler.schedule(
                () -> {
                    if (watchWanted && activeCall == null) {
                        boolean due =
                                millisSince(lastCallEndNanos) >= TimeBudget.MAX_BACKOFF_MILLIS;
                        if (due || pollPermission.test(millisSince(lastCallNanos))) {
                            openWatch();
                        } else {
                            scheduleRetry();
                        }
                    }
                },
                Math.max(1, Math.min(wait, left)),
                TimeUnit.MILLISECONDS);
    }

    private void handleMessage(DiscoveryCall call, String text) {
        // Guards against the last words of a discovery that has moved: its versions say nothing any
        // more.
        if (!call.address.equals(discoveryAddress)) {
            return;
        }
        try {
            JsonObject tree = JsonObject.parse(text, "roster");
            long told = (long) tree.number("rev", version);
            if (told < versionFloor) {
                eventQueue.post(new ProxyEvent.StaleListReceived(told));
                return;
            }
            discoveryHeard = true;
            if (history != null) {
                history.lineReceived(text);
            }
            publishList(tree, tree.flag("all") ? ListScope.FULL : ListScope.CHANGES);
            backoffMillis = TimeBudget.MIN_BACKOFF_MILLIS;
            if (watchLost) {
                watchLost = false;
                LOG.info("roster: the watch is back, version " + version);
            }
        } catch (ConfigurationException e) {
            deduplicatedLog.warnOnce(
                    "line cannot be used, asking for the whole list, " + e.getMessage());
            // Guards against a change that is missed for good: what comes behind it says nothing of
            // it.
            listCurrent = false;
            if (activeCall == call) {
                call.connection.close();
                handleCallEnded(call);
            }
        }
    }

    private void publishList(JsonObject tree, ListScope scope) {
        List<Endpoint> entries = new ArrayList<>();
        Map<NodeId, InetSocketAddress> addresses = new HashMap<>();
        for (JsonObject each : tree.objects("targets")) {
            String uid = each.text("uid", "");
            InetSocketAddress address = IpAddresses.parse(each.text("endpoint", "")).orElse(null);
            NodeState state =
                    switch (each.text("state", "")) {
                        case "Ready" -> NodeState.READY;
                        case "Terminating" -> NodeState.DRAINING;
                        case "Gone" -> NodeState.GONE;
                        default -> null;
                    };
            if (uid.isEmpty() || state == null || address == null && state != NodeState.GONE) {
                deduplicatedLog.warnOnce(
                        "entry ignored, uid '" + uid + "' state '" + each.text("state", "") + "'");
                continue;
            }
            NodeId node = new NodeId(Fnv1a.hash(uid));
            if (address != null) {
                addresses.put(node, address);
            }
            Endpoint entry =
                    new Endpoint(
                            node,
                            state,
                            new MachineKind(
                                    indexOf(config.names().machineKinds(), each.text("model", ""))),
                            each.number("capacity_hint", 1),
                            TickClock.fromUnixMillis((long) each.number("boot_ms", 0)),
                            new CellId((int) each.number("pod_group", 0)),
                            new ZoneId(indexOf(config.names().zones(), each.text("az", ""))));
            entries.add(entry);
            updateListedCache(entry, new Zone(each.text("az", "")));
        }
        isListed(scope, entries);
        if (scope != ListScope.CHANGES && !entries.isEmpty()) {
            listedCaches.keySet().retainAll(cacheFlagByNode.keySet());
        }
        version = (long) tree.number("rev", version);
        listCurrent = true;
        eventQueue.post(
                new ProxyEvent.EndpointListChanged(
                        new Event.EndpointListReceived(scope, version, entries), addresses));
        if (scope != ListScope.CACHED) {
            firstResult.countDown();
        }
    }

    /** A kind that nobody has named is a cache's, as in the module. */
    private void updateListedCache(Endpoint entry, Zone zone) {
        if (entry.state() == NodeState.GONE
                || entry.kind().equals(config.settings().origin().machineKind())) {
            listedCaches.remove(entry.node());
        } else {
            listedCaches.put(
                    entry.node(),
                    new ListedNode(
                            entry.node().value(),
                            zone,
                            entry.state() == NodeState.READY,
                            entry.size(),
                            entry.startedAt() / TickClock.TICKS_PER_MILLI));
        }
    }

    /** The list's caches. */
    List<ListedNode> listedCaches() {
        return List.copyOf(listedCaches.values());
    }

    /** An empty list leaves the one held in use. */
    private void isListed(ListScope scope, List<Endpoint> entries) {
        if (scope != ListScope.CHANGES && !entries.isEmpty()) {
            cacheFlagByNode.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == NodeState.GONE) {
                cacheFlagByNode.remove(entry.node());
            } else {
                cacheFlagByNode.put(
                        entry.node(),
                        !entry.kind().equals(config.settings().origin().machineKind()));
            }
        }
        metrics.setListedNodes(
                (int) cacheFlagByNode.values().stream().filter(isCache -> isCache).count());
    }

    /** Whether any list is known yet. */
    boolean hasList() {
        return !cacheFlagByNode.isEmpty();
    }

    /** Whether the list names a node, whatever its state. */
    boolean isListed(NodeId node) {
        return cacheFlagByNode.containsKey(node);
    }

    private static int indexOf(List<String> names, String name) {
        int at = names.indexOf(name);
        return at < 0 ? UNKNOWN_INDEX : at;
    }

    /** How many braces the line opens and does not close. */
    private static int countOpenBraces(String text) {
        int depth = 0;
        boolean quoted = false;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"') {
                quoted = !quoted;
            } else if (quoted) {
                i += c == '\\' ? 1 : 0;
            } else {
                depth += c == '{' ? 1 : c == '}' ? -1 : 0;
            }
        }
        return depth;
    }

    /** One call to discovery: the standing watch, or a list asked for once. */
    private final class DiscoveryCall extends HttpGet {
        private final InetSocketAddress address;
        private final boolean standing;
        private final long startedAtNanos = System.nanoTime();

        /** Of an object that goes over several lines, what has come. */
        private final StringBuilder partialMessage = new StringBuilder();

        private int openBraces;
        private volatile long lastHeardNanos = startedAtNanos;
        private volatile int statusCode;

        DiscoveryCall(InetSocketAddress address, String target, boolean standing) {
            super(address, target);
            this.address = address;
            this.standing = standing;
        }

        @Override
        void onStatus(int status) {
            statusCode = status;
            lastHeardNanos = System.nanoTime();
            // What there is to tell comes with the head; nothing has changed where nothing does.
            scheduler.schedule(
                    firstResult::countDown,
                    TimeBudget.CHECK_INTERVAL_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        void onLine(String text) {
            lastHeardNanos = System.nanoTime();
            if (statusCode != OK || text.isBlank() && partialMessage.length() == 0) {
                return;
            }
            // Guards against a list that comes indented; no heartbeat comes amid one, so that ends
            // it anyhow.
            partialMessage.append(text).append('\n');
            openBraces += countOpenBraces(text);
            if (text.isBlank() || openBraces <= 0) {
                openBraces = 0;
                String whole = partialMessage.toString();
                partialMessage.setLength(0);
                scheduler.execute(() -> handleMessage(this, whole));
            }
        }

        @Override
        void onEnd(AttemptOutcome how) {
            connection.close();
            if (standing) {
                scheduler.execute(() -> handleCallEnded(this));
            } else if (statusCode != OK) {
                eventQueue.post(
                        new ProxyEvent.EndpointListChanged(
                                new Event.EndpointListReceived(ListScope.FAILED, 0, List.of()),
                                Map.of()));
            }
        }
    }
}
