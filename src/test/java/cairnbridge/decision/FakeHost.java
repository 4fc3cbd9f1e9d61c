package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Tenant;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A tiny host: it notes what the router asks for and fires its timers as the clock moves. */
final class FakeHost implements Host {
    static final long SECOND = 10_000;
    static final long ASK_WITHIN = 10 * SECOND;
    static final long ORIGIN = 900;

    /** Nodes of higher ids are of another machine kind. */
    static final long SLOW = 700;

    /** An attempt that the router has begun. */
    record Pushed(long op, int push, long node) {}

    final List<Pushed> pushes = new ArrayList<>();

    /** Of each push, until when it may begin. */
    final List<Long> latestBegins = new ArrayList<>();

    final List<String> answers = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    private final Map<Long, List<TimerId>> timers = new TreeMap<>();
    private final Map<Long, Integer> counts = new TreeMap<>();
    private Router router;
    private final Settings settings;
    long clock = 100 * SECOND;
    int avoided;

    Effect effect = Effect.IDEMPOTENT;
    boolean write;
    boolean repeat;

    /** What nodes report with each end, by node; one that is not here reports nothing. */
    final Map<Long, double[]> reports = new TreeMap<>();

    FakeHost(Effect effect, DeduplicationScope group, boolean aside, Tenant... tenants) {
        this(effect, group, aside, 1, 1, tenants);
    }

    FakeHost(
            Effect effect,
            DeduplicationScope group,
            boolean aside,
            int proxies,
            long seed,
            Tenant... tenants) {
        this(effect, group, aside, proxies, seed, "", tenants);
    }

    FakeHost(
            Effect effect,
            DeduplicationScope group,
            boolean aside,
            int proxies,
            long seed,
            String columns,
            Tenant... tenants) {
        this.effect = effect;
        Category category =
                new Category(effect, group, SECOND, SECOND / 2, 0, 2 * SECOND, 1, 0.5, false);
        settings =
                new Settings(
                        new Settings.Proxy(new PeerId(0), new ZoneId(0), proxies, 10, 100),
                        new Settings.Origin(aside, new MachineKind(aside ? 9 : -1), 3, SECOND),
                        new Settings.Discovery(false, ASK_WITHIN),
                        new Settings.SlowStart(0.25, 10 * SECOND, 2, SECOND),
                        new Settings.Attempts(6, true, true, true, false),
                        new Settings.Clients(true, SECOND, false, 0.1),
                        new Settings.Prices(0, 0, 0, 0, 0),
                        columns.isEmpty() ? List.of() : List.of(columns.split(" ")),
                        List.of(category),
                        List.of(tenants));
        router = new Router(settings, seed, clock, this, WarmStartState.EMPTY);
    }

    /**
     * Another router takes the place of an earlier host's, with what that had learnt; some time
     * later.
     */
    FakeHost follows(FakeHost earlier, long later) {
        clock = earlier.clock + later;
        router = new Router(settings, 5, clock, this, earlier.router.warmStartState());
        return this;
    }

    /** The same, but what the one before had learnt is only how much a warm cache was sent. */
    FakeHost followsKnowing(double sendRate) {
        router =
                new Router(
                        settings, 5, clock, this, new WarmStartState(clock, 0, sendRate, Map.of()));
        return this;
    }

    double sendRate() {
        return router.warmStartState().sendsPerSecond();
    }

    FakeHost(Effect effect) {
        this(effect, DeduplicationScope.ALL_NODES, true);
    }

    /** One of many proxies, told apart by its seed. */
    static FakeHost oneOf(int proxies, long seed, Tenant... tenants) {
        return new FakeHost(
                Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, proxies, seed, tenants);
    }

    /** Caches whose reports have these columns. */
    static FakeHost reporting(String columns, long seed) {
        return new FakeHost(
                Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, 1, seed, columns);
    }

    static Endpoint entry(long node, NodeState state, long started) {
        boolean origin = node == ORIGIN;
        MachineKind kind = new MachineKind(origin ? 9 : node > SLOW ? 1 : 0);
        int group = (int) node % 2;
        return new Endpoint(
                new NodeId(node), state, kind, 1, started, new CellId(group), new ZoneId(group));
    }

    /**
     * A node that is ready for a moment; what is left of its id shows whether anybody remembers it.
     */
    WeakReference<Object> comesAndGoes(long node) {
        Endpoint ready = entry(node, NodeState.READY, 0);
        changed(ready);
        changed(entry(node, NodeState.GONE, 0));
        return new WeakReference<>(ready.node());
    }

    FakeHost listed(int caches) {
        List<Endpoint> entries = new ArrayList<>();
        for (long n = 1; n <= caches; n++) {
            entries.add(entry(n, NodeState.READY, 0));
        }
        entries.add(entry(ORIGIN, NodeState.READY, 0));
        tell(new Event.EndpointListReceived(ListScope.CACHED, 1, entries));
        return this;
    }

    FakeHost changed(Endpoint... entries) {
        tell(new Event.EndpointListReceived(ListScope.CHANGES, 2, List.of(entries)));
        return this;
    }

    FakeHost held(long node, boolean on) {
        tell(new Event.MaintenanceChanged(new NodeId(node), on));
        return this;
    }

    void tell(Event event) {
        router.handle(clock, event);
    }

    FakeHost op(long id, long key, long ttl) {
        tell(
                new Event.RequestArrived(
                        new RequestId(id),
                        new CategoryId(0),
                        new TenantId(0),
                        new KeyId(key),
                        clock + ttl,
                        0,
                        -1,
                        repeat,
                        write));
        return this;
    }

    /** The latest push ends so. */
    FakeHost ends(AttemptOutcome ending, long took) {
        return ends(pushes.get(pushes.size() - 1), ending, took);
    }

    FakeHost ends(Pushed pushed, AttemptOutcome ending, long took) {
        pass(took);
        tell(
                new Event.AttemptEnded(
                        new RequestId(pushed.op),
                        pushed.push,
                        new NodeId(pushed.node),
                        ending,
                        0,
                        took,
                        ending == AttemptOutcome.SUCCESS,
                        reports.get(pushed.node)));
        return this;
    }

    /** Ops from one id up to another, each for a key of its own and acked after the same span. */
    FakeHost acks(long from, long to, long took) {
        for (long id = from; id < to; id++) {
            op(id, id, SECOND).ends(AttemptOutcome.SUCCESS, took);
        }
        return this;
    }

    FakeHost pass(long span) {
        long end = clock + span;
        while (!timers.isEmpty() && timers.keySet().iterator().next() <= end) {
            long due = timers.keySet().iterator().next();
            clock = Math.max(clock, due);
            timers.remove(due).forEach(t -> tell(new Event.TimerFired(t)));
        }
        clock = end;
        return this;
    }

    long lastNode() {
        return pushes.get(pushes.size() - 1).node;
    }

    @Override
    public void sendAttempt(RequestId op, NodeId node, long timeOut, long latestBegin) {
        int number = counts.merge(op.value(), 1, Integer::sum) - 1;
        pushes.add(new Pushed(op.value(), number, node.value()));
        latestBegins.add(latestBegin);
    }

    @Override
    public void cancelAttempt(RequestId op, int push) {
        calls.add("cancel " + op.value() + " " + push);
    }

    @Override
    public void rejectRetryable(RequestId op, long retryAfter) {
        answers.add("nack " + op.value());
    }

    @Override
    public void failPermanently(RequestId op) {
        answers.add("dead " + op.value());
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        timers.computeIfAbsent(clock + in, k -> new ArrayList<>()).add(timer);
    }

    @Override
    public void checkHealth(NodeId node) {
        calls.add("probe " + node.value());
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        calls.add("tell " + body.length);
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        calls.add("subscribe " + on);
    }

    @Override
    public void fetchEndpointList() {
        calls.add("fetch");
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        avoided = nodes;
    }

    @Override
    public void log(String line) {
        calls.add("log " + line);
    }
}
