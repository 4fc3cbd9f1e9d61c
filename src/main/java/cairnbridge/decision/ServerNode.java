package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;

/**
 * One server, a cache or a replica of the origin: this proxy's requests in flight there, its place
 * on the ring, and whether it accepts one more request.
 */
final class ServerNode {
    /** The least cap, so that few requests in flight do not spill by chance. */
    private static final int MIN_CAP = 2;

    /** By how much the load of a cache may exceed the average. */
    private static final double EPSILON = 0.6;

    /** A node that accepts a smaller share than this counts as avoided. */
    private static final double AVOIDED_SHARE = 0.1;

    private static final double SPEED_STEP = 0.1;

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

    /** The slot on the ring, below 0 while there is none. */
    private int slot = -1;

    private int pointCount;
    private double weight = 1;

    /** Of the machine's kind, as a part of the fastest kind's. */
    private double speed = 1;

    /** The part of the points that is in use. */
    private double openShare = 1;

    private boolean isInTransition;

    ServerNode(NodeId id, RouterContext context) {
        this.id = id;
        this.context = context;
        health = new NodeHealth(context, this);
        WarmStartState.Trust trust = context.warmStart.nodes().get(id);
        if (trust != null) {
            // Where the list tells of another start, that forgets the rest.
            startedAt = trust.startedAt();
            health.trust(trust.acceptedShare(), context.warmStartWeight());
        }
    }

    NodeId id() {
        return id;
    }

    double size() {
        return size;
    }

    /** The time of the last start, 0 where it was long ago. */
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

    WarmStartState.Trust trust() {
        return new WarmStartState.Trust(startedAt, health.acceptedShare());
    }

    /** Follows what the endpoint list says of this server. */
    void endpointChanged(Endpoint changed) {
        endpoint = changed;
        state = changed.state();
        size = changed.size() > 0 ? changed.size() : 1;
        if (changed.startedAt() > startedAt) {
            restarted(changed.startedAt());
        }
    }

    /** A whole list does not name it. */
    void leftEndpointList() {
        state = NodeState.GONE;
    }

    /** Where the last start is not known to lie in the maintenance, it counts as one of now. */
    void returnedFromMaintenance(long since) {
        restarted(startedAt < since ? context.now() : startedAt);
    }

    /** A new process: forgets what the old one did wrong. */
    private void restarted(long start) {
        startedAt = start;
        health.reset();
        slowStartWindow.restart(context.now());
        enterTransition();
    }

    /** Whether new attempts may go there. */
    boolean isReady() {
        return state == NodeState.READY && !context.registry.isInMaintenance(id);
    }

    boolean isForgettable() {
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

    /** The part of the average cache's load that is this one's; 1 for a cache of average size. */
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
        if (Math.abs(changed - speed) > SPEED_STEP) {
            speed = changed;
            updateOpenShare();
        }
    }

    /** In slow start, points above the open share belong to the next node clockwise. */
    boolean isPointOpen(int rank) {
        return rank <= openShare * pointCount;
    }

    double openWeight() {
        return weight * openShare;
    }

    /** What slow start keeps closed of the weight. */
    double closedWeight() {
        return weight * (speed - openShare);
    }

    /** The share of its capacity that a node is sure to have by now, from 0 to 1. */
    private void updateOpenShare() {
        openShare = speed * context.slowStart.warmth(this);
    }

    /** Has the ring look after this node until it is warm and healthy. */
    void enterTransition() {
        if (!isInTransition && isOnRing()) {
            isInTransition = true;
            context.loop.post(() -> context.ring.nodeInTransition(this));
        }
    }

    /** Opens what has warmed up meanwhile; whether the node is still cold or unhealthy. */
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

    /** Other proxies cannot reach it: distrusted sooner, and trusted again as ever. */
    void suspected() {
        health.suspected();
        enterTransition();
    }

    /** Accepts the request of a walk while under the cap, or sends the walk on. */
    void consider(RingWalk walk) {
        double average = walk.averageLoad;
        double cap = Math.max(MIN_CAP, Math.ceil((1 + EPSILON) * average * weight * openShare));
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
        double burden = (load + 1) / weight / health.acceptedShare() / relativeSpeed;
        if (walk.isLeastLoad(burden) && context.slowStart.hasCapacity(this)) {
            walk.rememberLeastLoaded(this, burden);
        }
        passOn(walk);
    }

    /** Requests of seldom requested keys are declined only by nodes that are rather unhealthy. */
    private static int healthFactor(RingWalk walk) {
        return walk.isKeyPopular ? 1 : 2;
    }

    private void passOn(RingWalk walk) {
        ServerNode next = walk.next();
        ServerNode leastLoaded = walk.leastLoaded();
        Request request = walk.request;
        if (next != null) {
            context.loop.post(() -> next.consider(walk));
        } else if (leastLoaded != null) {
            context.loop.post(() -> leastLoaded.accept(request));
        } else {
            context.loop.post(() -> context.requests.cannotContinue(request, 0));
        }
    }

    /**
     * The part of its cap that a node has while a request takes longer there than at most others.
     * Guards against a hot key met by many proxies, each with too few in flight to reach its cap.
     */
    private double relativeSpeed(long objective) {
        return latency.relativeSpeed(context.now(), context.fleetLatency.typical(), objective);
    }

    /** Counts a request as in flight here and has it sent. */
    void accept(Request request) {
        inFlightChanged(1);
        context.loop.post(() -> context.dispatcher.send(request, this));
    }

    /** The dispatcher has not sent what was accepted. */
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
        loadReported(ended);
        health.attemptEnded(request.policy, ended);
    }

    private void loadReported(Event.AttemptEnded ended) {
        double reported = context.loadReports.latency(ended.loadReport());
        if (reported < 0 || context.origin.contains(this)) {
            return;
        }
        boolean isSuccess = ended.outcome() == AttemptOutcome.SUCCESS;
        double duration = (double) ended.duration();
        double observed = isSuccess ? duration : Math.max(reported, duration);
        latency.add((reported + observed) / 2, context.now());
        context.loop.post(() -> context.fleetLatency.reported(this, ended));
    }
}
