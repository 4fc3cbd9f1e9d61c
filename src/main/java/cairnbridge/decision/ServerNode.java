package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;

/**
 * One server, either a cache or a replica of the origin: this proxy's requests in flight there, its
 * points on the ring, and the decision whether it accepts another request.
 */
final class ServerNode {
    /**
     * The lower bound of the cap on requests in flight. It keeps a few requests in flight from
     * spilling over to the next node by chance.
     */
    private static final int MIN_CAP = 2;

    /** The fraction by which a cache's load may exceed the average load. */
    private static final double MAX_EXCESS_LOAD = 0.6;

    /** A node whose accepted share is below this counts as avoided. */
    private static final double AVOIDED_SHARE = 0.1;

    private static final double MIN_SPEED_CHANGE = 0.1;

    private final NodeId id;
    private final RouterContext context;
    private final NodeHealth health;
    private final NodeLatency latency = new NodeLatency();
    private final SlowStartWindow slowStartWindow = new SlowStartWindow();
    private NodeState state = NodeState.GONE;
    private Endpoint endpoint;
    private double size = 1;
    private long startedAt;
    private int inFlight;

    /** The node's slot on the ring, negative while the node is not on the ring. */
    private int slot = -1;

    private int pointCount;
    private double weight = 1;

    /** The speed of the node's machine kind, relative to the fastest kind. */
    private double speed = 1;

    /** The share of the node's points that are in use. */
    private double openShare = 1;

    private boolean isInTransition;

    ServerNode(NodeId id, RouterContext context) {
        this.id = id;
        this.context = context;
        health = new NodeHealth(context, this);
        WarmStartState.SavedHealth savedHealth = context.warmStart.nodes().get(id);
        if (savedHealth != null) {
            // If the endpoint list contains a later start, restarted() discards the restored
            // health.
            startedAt = savedHealth.startedAt();
            health.restore(savedHealth.acceptedShare(), context.warmStartWeight());
        }
    }

    NodeId id() {
        return id;
    }

    double size() {
        return size;
    }

    /** The clock time of the last start, 0 if that was long ago. */
    long startedAt() {
        return startedAt;
    }

    Endpoint endpoint() {
        return endpoint;
    }

    MachineKind machineKind() {
        return endpoint.kind();
    }

    boolean isInZone(ZoneId zone) {
        return endpoint.zone().equals(zone);
    }

    SlowStartWindow slowStartWindow() {
        return slowStartWindow;
    }

    int inFlight() {
        return inFlight;
    }

    WarmStartState.SavedHealth savedHealth() {
        return new WarmStartState.SavedHealth(startedAt, health.acceptedShare());
    }

    /** Applies the endpoint list's entry for this server. */
    void endpointChanged(Endpoint changed) {
        endpoint = changed;
        state = changed.state();
        size = changed.size() > 0 ? changed.size() : 1;
        if (changed.startedAt() > startedAt) {
            restarted(changed.startedAt());
        }
    }

    /** Marks the server as gone: a full endpoint list does not contain it. */
    void leftEndpointList() {
        state = NodeState.GONE;
    }

    /**
     * Treats the node as restarted when its maintenance ends. If no start during the maintenance is
     * known, the current time counts as the start.
     */
    void returnedFromMaintenance(long since) {
        restarted(startedAt < since ? context.now() : startedAt);
    }

    /** Resets health and slow start for a new server process. */
    private void restarted(long start) {
        startedAt = start;
        health.reset();
        slowStartWindow.restart(context.now());
        enterTransition();
    }

    /** Whether new attempts may be sent to this node. */
    boolean isReady() {
        return state == NodeState.READY && !context.registry.isInMaintenance(id);
    }

    boolean isRemovable() {
        return state == NodeState.GONE && inFlight == 0;
    }

    boolean isOnRing() {
        return slot >= 0;
    }

    int slot() {
        return slot;
    }

    void joinRing(int freeSlot) {
        slot = freeSlot;
    }

    void leaveRing() {
        slot = -1;
    }

    int pointCount() {
        return pointCount;
    }

    void pointCountChanged(int count) {
        pointCount = count;
    }

    /**
     * The load that the node should carry relative to an average cache, 1 for a cache of average
     * size.
     */
    double weight() {
        return weight;
    }

    void weightChanged(double changed) {
        weight = changed;
    }

    double speed() {
        return speed;
    }

    void speedChanged(double changed) {
        if (Math.abs(changed - speed) > MIN_SPEED_CHANGE) {
            speed = changed;
            updateOpenShare();
        }
    }

    /**
     * Whether the point of this rank is in use. In slow start, requests for a closed point go to
     * the next node clockwise.
     */
    boolean isPointOpen(int rank) {
        return rank <= openShare * pointCount;
    }

    double openWeight() {
        return weight * openShare;
    }

    /** The part of the weight that slow start keeps closed. */
    double closedWeight() {
        return weight * (speed - openShare);
    }

    /**
     * Updates the share of the node's capacity that is certainly available, from 0 to 1: its speed
     * times its slow start warmth.
     */
    private void updateOpenShare() {
        openShare = speed * context.slowStart.warmth(this);
    }

    /** Registers the node for ring housekeeping until it is warm and healthy. */
    void enterTransition() {
        if (!isInTransition && isOnRing()) {
            isInTransition = true;
            context.loop.post(() -> context.ring.nodeInTransition(this));
        }
    }

    /**
     * Opens the points that have warmed up since the last run. Returns whether the node is still in
     * slow start or unhealthy.
     */
    boolean updateTransition() {
        isInTransition = false;
        if (isOnRing()) {
            updateOpenShare();
            isInTransition = openShare < speed || health.acceptedShare() < 1;
        }
        return isInTransition;
    }

    boolean isAvoided() {
        return health.acceptedShare() < AVOIDED_SHARE;
    }

    void recoverHealth() {
        health.recover();
    }

    /**
     * Lowers the accepted share because other proxies cannot reach the node. The share recovers as
     * after failed attempts.
     */
    void suspected() {
        health.suspected();
        enterTransition();
    }

    /**
     * Accepts the request of a walk if the node is under its cap and healthy enough, otherwise
     * continues the walk.
     */
    void offer(RingWalk walk) {
        double average = walk.averageLoad;
        double cap =
                Math.max(MIN_CAP, Math.ceil((1 + MAX_EXCESS_LOAD) * average * weight * openShare));
        int load = inFlight + health.orphanedAttempts();
        double relativeSpeed = relativeSpeed(walk.request.policy.latencyObjective());
        double acceptance =
                relativeSpeed * Math.min(1, healthFactor(walk) * health.acceptedShare());
        if (load < cap
                && context.slowStart.hasCapacity(this)
                && (acceptance >= 1 || context.random.nextDouble() < acceptance)) {
            accept(walk.request);
            return;
        }
        double relativeLoad = (load + 1) / weight / health.acceptedShare() / relativeSpeed;
        if (walk.isLeastLoad(relativeLoad) && context.slowStart.hasCapacity(this)) {
            walk.rememberLeastLoaded(this, relativeLoad);
        }
        offerToNext(walk);
    }

    /** Requests for unpopular keys are declined only by nodes with a low accepted share. */
    private static int healthFactor(RingWalk walk) {
        return walk.isKeyPopular ? 1 : 2;
    }

    private void offerToNext(RingWalk walk) {
        ServerNode next = walk.next();
        ServerNode leastLoaded = walk.leastLoaded();
        Request request = walk.request;
        if (next != null) {
            context.loop.post(() -> next.offer(walk));
        } else if (leastLoaded != null) {
            context.loop.post(() -> leastLoaded.accept(request));
        } else {
            context.loop.post(() -> context.requests.cannotContinue(request, 0));
        }
    }

    /**
     * Returns the node's speed relative to most others, by the recent latency of requests. Guards
     * against a hot key requested through many proxies, each with too few requests in flight to
     * reach the node's cap.
     */
    private double relativeSpeed(long objective) {
        return latency.relativeSpeed(
                context.now(), context.fleetLatency.typicalLatency(), objective);
    }

    /** Counts a request as in flight here and passes it to the dispatcher. */
    void accept(Request request) {
        inFlightChanged(1);
        context.loop.post(() -> context.dispatcher.send(request, this));
    }

    /** Undoes {@link #accept} for a request that the dispatcher's rules did not allow. */
    void attemptVetoed() {
        inFlightChanged(-1);
    }

    private void inFlightChanged(int change) {
        inFlight += change;
        if (!context.origin.contains(this)) {
            context.loop.post(() -> context.ring.inFlightChanged(change));
        }
    }

    void attemptEnded(Request request, Event.AttemptEnded ended) {
        inFlightChanged(-1);
        recordLatency(ended);
        health.attemptEnded(request.policy, ended);
    }

    private void recordLatency(Event.AttemptEnded ended) {
        double reported = context.loadReports.latency(ended.loadReport());
        if (reported < 0 || context.origin.contains(this)) {
            return;
        }
        boolean isSuccess = ended.outcome() == AttemptOutcome.SUCCESS;
        double duration = (double) ended.duration();
        double observed = isSuccess ? duration : Math.max(reported, duration);
        latency.add((reported + observed) / 2, context.now());
        context.loop.post(() -> context.fleetLatency.addReport(this, ended));
    }
}
