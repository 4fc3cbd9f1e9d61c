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

/** A host that records the router's calls and fires its timers as the test advances the clock. */
final class FakeHost implements Host {
    static final long SECOND = 10_000;
    static final long LIST_RETRY_WITHIN = 10 * SECOND;
    static final long ORIGIN = 900;

    /** Caches with higher ids are of a slower machine kind. */
    static final long LAST_FAST_NODE = 700;

    /** An attempt sent by the router. */
    record SentAttempt(long request, int attempt, long node) {}

    final List<SentAttempt> attempts = new ArrayList<>();

    /** The latest start of each attempt, in the order of the attempts. */
    final List<Long> latestStarts = new ArrayList<>();

    final List<String> answers = new ArrayList<>();
    final List<String> calls = new ArrayList<>();
    private final Map<Long, List<TimerId>> timers = new TreeMap<>();
    private final Map<Long, Integer> attemptCounts = new TreeMap<>();
    private Router router;
    private final Settings settings;
    long clock = 100 * SECOND;
    int avoidedNodes;

    Effect effect = Effect.IDEMPOTENT;
    boolean isWrite;
    boolean isClientRetry;

    /**
     * The load report that each node sends with every attempt's end; a node without an entry sends
     * none.
     */
    final Map<Long, double[]> loadReports = new TreeMap<>();

    FakeHost(Effect effect, DeduplicationScope scope, boolean isLookAside, Tenant... tenants) {
        this(effect, scope, isLookAside, 1, 1, tenants);
    }

    FakeHost(
            Effect effect,
            DeduplicationScope scope,
            boolean isLookAside,
            int proxies,
            long seed,
            Tenant... tenants) {
        this(effect, scope, isLookAside, proxies, seed, "", tenants);
    }

    FakeHost(
            Effect effect,
            DeduplicationScope scope,
            boolean isLookAside,
            int proxies,
            long seed,
            String columns,
            Tenant... tenants) {
        this.effect = effect;
        Category category =
                new Category(effect, scope, SECOND, SECOND / 2, 0, 2 * SECOND, 1, 0.5, false);
        settings =
                new Settings(
                        new Settings.Proxy(new PeerId(0), new ZoneId(0), proxies, 10, 100),
                        new Settings.Origin(
                                isLookAside, new MachineKind(isLookAside ? 9 : -1), 3, SECOND),
                        new Settings.Discovery(false, LIST_RETRY_WITHIN),
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
     * Replaces this host's router by one that starts with the warm start state of another host's
     * router, some time later.
     */
    FakeHost replaceRouterOf(FakeHost earlier, long delay) {
        clock = earlier.clock + delay;
        router = new Router(settings, 5, clock, this, earlier.router.warmStartState());
        return this;
    }

    /**
     * Replaces this host's router by one whose warm start state contains only the rate sent to a
     * warm cache.
     */
    FakeHost warmStartedWith(double sendsPerSecond) {
        router =
                new Router(
                        settings,
                        5,
                        clock,
                        this,
                        new WarmStartState(clock, 0, sendsPerSecond, Map.of()));
        return this;
    }

    double recordedSendRate() {
        return router.warmStartState().sendsPerSecond();
    }

    FakeHost(Effect effect) {
        this(effect, DeduplicationScope.ALL_NODES, true);
    }

    /** Creates one of many proxies; the seed distinguishes it from the others. */
    static FakeHost oneOfProxies(int proxies, long seed, Tenant... tenants) {
        return new FakeHost(
                Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, proxies, seed, tenants);
    }

    /** Creates a host whose caches send load reports with these columns. */
    static FakeHost withLoadReports(String columns, long seed) {
        return new FakeHost(
                Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, 1, seed, columns);
    }

    static Endpoint endpoint(long node, NodeState state, long startedAt) {
        boolean isOrigin = node == ORIGIN;
        MachineKind kind = new MachineKind(isOrigin ? 9 : node > LAST_FAST_NODE ? 1 : 0);
        int zone = (int) node % 2;
        return new Endpoint(
                new NodeId(node), state, kind, 1, startedAt, new CellId(zone), new ZoneId(zone));
    }

    /**
     * Adds a node and removes it again. The returned reference is cleared once nothing refers to
     * the node's id any more.
     */
    WeakReference<Object> addAndRemoveNode(long node) {
        Endpoint ready = endpoint(node, NodeState.READY, 0);
        changeEndpoints(ready);
        changeEndpoints(endpoint(node, NodeState.GONE, 0));
        return new WeakReference<>(ready.node());
    }

    FakeHost listCaches(int caches) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (long node = 1; node <= caches; node++) {
            endpoints.add(endpoint(node, NodeState.READY, 0));
        }
        endpoints.add(endpoint(ORIGIN, NodeState.READY, 0));
        handle(new Event.EndpointListReceived(ListScope.CACHED, 1, endpoints));
        return this;
    }

    FakeHost changeEndpoints(Endpoint... endpoints) {
        handle(new Event.EndpointListReceived(ListScope.CHANGES, 2, List.of(endpoints)));
        return this;
    }

    FakeHost setMaintenance(long node, boolean on) {
        handle(new Event.MaintenanceChanged(new NodeId(node), on));
        return this;
    }

    void handle(Event event) {
        router.handle(clock, event);
    }

    FakeHost request(long id, long key, long ttl) {
        handle(
                new Event.RequestArrived(
                        new RequestId(id),
                        new CategoryId(0),
                        new TenantId(0),
                        new KeyId(key),
                        clock + ttl,
                        0,
                        -1,
                        isClientRetry,
                        isWrite));
        return this;
    }

    /** Ends the latest attempt. */
    FakeHost endAttempt(AttemptOutcome outcome, long duration) {
        return endAttempt(attempts.get(attempts.size() - 1), outcome, duration);
    }

    FakeHost endAttempt(SentAttempt attempt, AttemptOutcome outcome, long duration) {
        advance(duration);
        handle(
                new Event.AttemptEnded(
                        new RequestId(attempt.request),
                        attempt.attempt,
                        new NodeId(attempt.node),
                        outcome,
                        0,
                        duration,
                        outcome == AttemptOutcome.SUCCESS,
                        loadReports.get(attempt.node)));
        return this;
    }

    /**
     * Sends requests with ids from one number up to another, each with its own key, and ends each
     * with a success after the same duration.
     */
    FakeHost succeedRequests(long from, long to, long duration) {
        for (long id = from; id < to; id++) {
            request(id, id, SECOND).endAttempt(AttemptOutcome.SUCCESS, duration);
        }
        return this;
    }

    FakeHost advance(long duration) {
        long end = clock + duration;
        while (!timers.isEmpty() && timers.keySet().iterator().next() <= end) {
            long due = timers.keySet().iterator().next();
            clock = Math.max(clock, due);
            timers.remove(due).forEach(timer -> handle(new Event.TimerFired(timer)));
        }
        clock = end;
        return this;
    }

    long lastNode() {
        return attempts.get(attempts.size() - 1).node;
    }

    @Override
    public void sendAttempt(RequestId request, NodeId node, long timeout, long latestStart) {
        int number = attemptCounts.merge(request.value(), 1, Integer::sum) - 1;
        attempts.add(new SentAttempt(request.value(), number, node.value()));
        latestStarts.add(latestStart);
    }

    @Override
    public void cancelAttempt(RequestId request, int attempt) {
        calls.add("cancel " + request.value() + " " + attempt);
    }

    @Override
    public void rejectRetryable(RequestId request, long retryAfter) {
        answers.add("reject " + request.value());
    }

    @Override
    public void failPermanently(RequestId request) {
        answers.add("fail " + request.value());
    }

    @Override
    public void startTimer(long delay, TimerId timer) {
        timers.computeIfAbsent(clock + delay, k -> new ArrayList<>()).add(timer);
    }

    @Override
    public void checkHealth(NodeId node) {
        calls.add("check health " + node.value());
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        calls.add("send to peer " + body.length);
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
        avoidedNodes = nodes;
    }

    @Override
    public void log(String line) {
        calls.add("log " + line);
    }
}
