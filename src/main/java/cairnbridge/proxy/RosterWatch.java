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
final class RosterWatch {
    private static final Logger LOG = Logger.getLogger(RosterWatch.class.getName());
    private static final String LIST = "/api/targets";
    private static final int OK = 200;
    private static final int UNKNOWN = 1 << 20;

    private final ProxyConfig config;
    private final Sockets sockets;
    private final Inbox inbox;

    /** One thread, idle nearly always: it dials again after a wait and notices silence. */
    private final ScheduledExecutorService timer;

    private volatile InetSocketAddress discovery;
    private volatile Watching watching;

    /**
     * Whether to call now, by how many milliseconds ago this proxy last did; a fleet shares the
     * calls out.
     */
    private volatile LongPredicate mayCall = sinceCalled -> true;

    private long calledAt = System.nanoTime();
    private long endedAt = calledAt;

    /**
     * Guards against a fleet killed together that asks together, again and again: waits are
     * scattered.
     */
    private final RandomGenerator chance;

    private volatile long version;

    /** Lists of discovery's below this version are not used; 0 where none was known before. */
    private volatile long believed;

    /** Null where lists are not kept over a loss of power. */
    private EndpointListHistory book;

    private long waitMillis = TimeBudget.MIN_BACKOFF_MILLIS;
    private boolean started;
    private boolean wanted;
    private boolean listed;
    private boolean discovered;
    private boolean lost;

    /** Open until the first call has brought something, or has failed. */
    private final CountDownLatch first = new CountDownLatch(1);

    private final OddityLog odd = new OddityLog(LOG, "roster");

    /** The list's nodes, and whether each is a cache. */
    private final Map<NodeId, Boolean> nodes = new ConcurrentHashMap<>();

    /** The list's caches as plans over zones need them. */
    private final Map<NodeId, ListedNode> servers = new ConcurrentHashMap<>();

    private final ProxyMetrics figures;

    RosterWatch(
            ProxyConfig config,
            Sockets sockets,
            Inbox inbox,
            ScheduledExecutorService timer,
            ProxyMetrics figures) {
        this.figures = figures;
        this.config = config;
        this.discovery = config.network().discovery();
        this.chance = RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed());
        this.sockets = sockets;
        this.inbox = inbox;
        this.timer = timer;
    }

    /** The list as this proxy last had it, then the watch, unless the module has to ask for it. */
    void start() {
        if (config.initialEndpoints().has("targets")) {
            tell(config.initialEndpoints(), ListScope.CACHED);
        }
        timer.execute(
                () -> {
                    started = true;
                    wanted |= !config.settings().mustSubscribe();
                    if (wanted && watching == null) {
                        open();
                    }
                });
        timer.scheduleWithFixedDelay(
                this::look,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Waits until discovery's word has gone to the owner, or there is none to be had. Guards
     * against ops sent by the list of the configuration: what discovery has counts as told from a
     * process's first moment.
     */
    void awaitFirst() throws InterruptedException {
        first.await(
                TimeBudget.CALL_TIMEOUT_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    void subscribe(boolean on) {
        timer.execute(
                () -> {
                    wanted = on;
                    // Guards against a module that asks as soon as it is made, when nothing can be
                    // dialled yet.
                    if (on && watching == null && started) {
                        open();
                    } else if (!on && watching != null) {
                        watching.connection.close();
                    }
                });
    }

    /** The whole list, once. */
    void fetch() {
        InetSocketAddress asked = discovery;
        sockets.dial(asked, config.network().connectTimeout(), new Watching(asked, LIST, false));
    }

    /** Who calls is decided with others from now on. */
    void callsIf(LongPredicate may) {
        mayCall = may;
    }

    /** The version of the list that is held; any thread may ask. */
    long version() {
        return version;
    }

    /** Whether the list comes in right now: one that has missed a beat may be about to be lost. */
    boolean isListing() {
        Watching now = watching;
        return now != null
                && now.code == OK
                && millisSince(now.heard) < TimeBudget.HEARTBEAT_MILLIS * 3 / 2;
    }

    /** Lists are put down in the book from now on; before the start. */
    void keepsIn(EndpointListHistory lists) {
        book = lists;
    }

    /** Discovery's lists count from this version on. */
    void believesFrom(long floor) {
        believed = floor;
    }

    /**
     * A list that did not come from discovery is in use until that tells one; its text as
     * discovery's.
     */
    void guess(String text) {
        timer.execute(
                () -> {
                    if (discovered) {
                        return; // Discovery was faster.
                    }
                    try {
                        tell(JsonObject.parse(text, "kept list"), ListScope.CACHED);
                        listed = false; // The first call asks for the whole list.
                        book.lineReceived(text);
                    } catch (ConfigurationException e) {
                        LOG.warning("roster: a list from before cannot be used: " + e.getMessage());
                    }
                });
    }

    /** Asks discovery for its whole list once more. */
    void askAnew() {
        timer.execute(
                () -> {
                    listed = false;
                    if (watching != null) {
                        watching.connection.close();
                    }
                });
    }

    private void open() {
        calledAt = System.nanoTime();
        String after = listed ? "&after=" + version : "";
        watching = new Watching(discovery, LIST + "?watch=1" + after, true);
        sockets.dial(discovery, config.network().connectTimeout(), watching);
    }

    /**
     * Discovery is elsewhere from now on: its whole list counts, and the watch at the old place
     * goes.
     */
    void move(InetSocketAddress there) {
        timer.execute(
                () -> {
                    if (there.equals(discovery)) {
                        return;
                    }
                    discovery = there;
                    listed = false;
                    waitMillis = TimeBudget.MIN_BACKOFF_MILLIS;
                    Watching old = watching;
                    if (wanted) {
                        open();
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
    private void look() {
        Watching call = watching;
        if (call == null) {
            return;
        }
        long most =
                call.code == 0 ? TimeBudget.CALL_TIMEOUT_MILLIS : TimeBudget.WATCH_SILENCE_MILLIS;
        if (millisSince(call.heard) >= most) {
            LOG.warning(
                    "roster: the "
                            + (call.code == 0 ? "call" : "watch")
                            + " is silent, dialling again");
            call.connection.close();
            ended(call); // Whatever becomes of the connection: the next call does not wait for
            // its end.
        }
    }

    private void ended(Watching call) {
        if (watching != call) {
            return;
        }
        watching = null;
        first.countDown();
        endedAt = System.nanoTime();
        // Guards against a wait grown long before: one that has held for a while is called again at
        // once.
        if (call.code == OK && millisSince(call.began) >= TimeBudget.HEARTBEAT_MILLIS) {
            waitMillis = TimeBudget.MIN_BACKOFF_MILLIS;
        }
        if (config.settings().mustSubscribe()) {
            wanted = false;
            inbox.post(
                    new Notice.Listed(
                            new Event.EndpointListReceived(ListScope.FAILED, version, List.of()),
                            Map.of()));
        } else if (wanted) {
            if (!lost) {
                lost = true;
                LOG.warning("roster: the watch is lost, version " + version + " stays");
            }
            callAgain();
        }
    }

    /**
     * Backoff with jitter, bounded from the end of the last call on, whoever else may be to call.
     */
    private void callAgain() {
        long left = TimeBudget.MAX_BACKOFF_MILLIS - millisSince(endedAt);
        long wait = waitMillis / 2 + chance.nextLong(waitMillis / 2 + 1);
        waitMillis = Math.min(TimeBudget.MAX_BACKOFF_MILLIS, waitMillis * 2);
        timer.schedule(
                () -> {
                    if (wanted && watching == null) {
                        boolean due = millisSince(endedAt) >= TimeBudget.MAX_BACKOFF_MILLIS;
                        if (due || mayCall.test(millisSince(calledAt))) {
                            open();
                        } else {
                            callAgain();
                        }
                    }
                },
                Math.max(1, Math.min(wait, left)),
                TimeUnit.MILLISECONDS);
    }

    private void heard(Watching call, String text) {
        // Guards against the last words of a discovery that has moved: its versions say nothing any
        // more.
        if (!call.address.equals(discovery)) {
            return;
        }
        try {
            JsonObject tree = JsonObject.parse(text, "roster");
            long told = (long) tree.number("rev", version);
            if (told < believed) {
                inbox.post(new Notice.Older(told));
                return;
            }
            discovered = true;
            if (book != null) {
                book.lineReceived(text);
            }
            tell(tree, tree.flag("all") ? ListScope.FULL : ListScope.CHANGES);
            waitMillis = TimeBudget.MIN_BACKOFF_MILLIS;
            if (lost) {
                lost = false;
                LOG.info("roster: the watch is back, version " + version);
            }
        } catch (ConfigurationException e) {
            odd.say("line cannot be used, asking for the whole list, " + e.getMessage());
            // Guards against a change that is missed for good: what comes behind it says nothing of
            // it.
            listed = false;
            if (watching == call) {
                call.connection.close();
                ended(call);
            }
        }
    }

    private void tell(JsonObject tree, ListScope scope) {
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
                odd.say("entry ignored, uid '" + uid + "' state '" + each.text("state", "") + "'");
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
                                    index(config.names().machineKinds(), each.text("model", ""))),
                            each.number("capacity_hint", 1),
                            Clock.ofUnixMillis((long) each.number("boot_ms", 0)),
                            new CellId((int) each.number("pod_group", 0)),
                            new ZoneId(index(config.names().zones(), each.text("az", ""))));
            entries.add(entry);
            serves(entry, new Zone(each.text("az", "")));
        }
        names(scope, entries);
        if (scope != ListScope.CHANGES && !entries.isEmpty()) {
            servers.keySet().retainAll(nodes.keySet());
        }
        version = (long) tree.number("rev", version);
        listed = true;
        inbox.post(
                new Notice.Listed(
                        new Event.EndpointListReceived(scope, version, entries), addresses));
        if (scope != ListScope.CACHED) {
            first.countDown();
        }
    }

    /** A kind that nobody has named is a cache's, as in the module. */
    private void serves(Endpoint entry, Zone zone) {
        if (entry.state() == NodeState.GONE
                || entry.kind().equals(config.settings().originKind())) {
            servers.remove(entry.node());
        } else {
            servers.put(
                    entry.node(),
                    new ListedNode(
                            entry.node().value(),
                            zone,
                            entry.state() == NodeState.READY,
                            entry.size(),
                            entry.startedAt() / Clock.MILLI));
        }
    }

    /** The list's caches. */
    List<ListedNode> servers() {
        return List.copyOf(servers.values());
    }

    /** An empty list leaves the one held in use. */
    private void names(ListScope scope, List<Endpoint> entries) {
        if (scope != ListScope.CHANGES && !entries.isEmpty()) {
            nodes.clear();
        }
        for (Endpoint entry : entries) {
            if (entry.state() == NodeState.GONE) {
                nodes.remove(entry.node());
            } else {
                nodes.put(entry.node(), !entry.kind().equals(config.settings().originKind()));
            }
        }
        figures.setListedNodes((int) nodes.values().stream().filter(isCache -> isCache).count());
    }

    /** Whether any list is known yet. */
    boolean hasNames() {
        return !nodes.isEmpty();
    }

    /** Whether the list names a node, whatever its state. */
    boolean names(NodeId node) {
        return nodes.containsKey(node);
    }

    private static int index(List<String> names, String name) {
        int at = names.indexOf(name);
        return at < 0 ? UNKNOWN : at;
    }

    /** How many braces the line opens and does not close. */
    private static int braces(String text) {
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
    private final class Watching extends Get {
        private final InetSocketAddress address;
        private final boolean standing;
        private final long began = System.nanoTime();

        /** Of an object that goes over several lines, what has come. */
        private final StringBuilder part = new StringBuilder();

        private int depth;
        private volatile long heard = began;
        private volatile int code;

        Watching(InetSocketAddress address, String target, boolean standing) {
            super(address, target);
            this.address = address;
            this.standing = standing;
        }

        @Override
        void begun(int status) {
            code = status;
            heard = System.nanoTime();
            // What there is to tell comes with the head; nothing has changed where nothing does.
            timer.schedule(
                    first::countDown, TimeBudget.CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        @Override
        void line(String text) {
            heard = System.nanoTime();
            if (code != OK || text.isBlank() && part.length() == 0) {
                return;
            }
            // Guards against a list that comes indented; no heartbeat comes amid one, so that ends
            // it anyhow.
            part.append(text).append('\n');
            depth += braces(text);
            if (text.isBlank() || depth <= 0) {
                depth = 0;
                String whole = part.toString();
                part.setLength(0);
                timer.execute(() -> heard(this, whole));
            }
        }

        @Override
        void over(AttemptOutcome how) {
            connection.close();
            if (standing) {
                timer.execute(() -> ended(this));
            } else if (code != OK) {
                inbox.post(
                        new Notice.Listed(
                                new Event.EndpointListReceived(ListScope.FAILED, 0, List.of()),
                                Map.of()));
            }
        }
    }
}
