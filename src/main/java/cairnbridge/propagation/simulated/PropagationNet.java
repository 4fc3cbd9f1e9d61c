package cairnbridge.propagation.simulated;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.propagation.MemberLocation;
import cairnbridge.propagation.Position;
import cairnbridge.propagation.PropagationSettings;
import cairnbridge.propagation.RelayTree;
import cairnbridge.propagation.RetainedLog;
import cairnbridge.simulation.EventQueue;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Members and control machines on a simulated network. The same seed and the same calls produce the
 * same run. Times are in ticks.
 *
 * <p>Every node checks the changes it is asked to apply: a change that is not newer than the one in
 * force, or that the node has rejected before, is added to {@link #violations}.
 */
public final class PropagationNet {
    /** One second of simulated time. */
    public static final long SECOND = Ticks.SECOND;

    /** The resolution of {@link #advanceUntilInForce}. */
    private static final long MEASURING_STEP = 10 * Ticks.MILLISECOND;

    final PropagationSettings settings;
    private final FleetLayout layout;
    private final boolean direct;
    final RandomGenerator random;
    final SimulatedLatency latency;
    final EventQueue events = new EventQueue(SECOND);
    final Map<MemberId, SimulatedNode> nodes = new LinkedHashMap<>();
    private final List<SimulatedNode> members = new ArrayList<>();
    private final List<SimulatedNode> controls = new ArrayList<>();
    private final RelayTree tree;
    int largestMessage;

    /** Descriptions of the invariants that were violated. */
    public final List<String> violations = new ArrayList<>();

    /** Notified of applied changes and handled reports; null for none. */
    public PropagationObserver observer;

    /** The probability that a message is lost, from 0 to 1. */
    public double loss;

    /** The probability that a message is delivered twice, from 0 to 1. */
    public double duplicated;

    /**
     * Creates a network whose nodes are all stopped.
     *
     * @param direct whether all members subscribe directly to control machines, without relays
     */
    public PropagationNet(
            FleetLayout layout, PropagationSettings settings, boolean direct, long seed) {
        this.layout = layout;
        this.settings = settings;
        this.direct = direct;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        latency = new SimulatedLatency(random);
        List<MemberLocation> locations = layout.locations();
        tree = new RelayTree(layout.controlIds(), locations);
        for (MemberId id : layout.controlIds()) {
            String region = "r" + controls.size() % layout.regions();
            controls.add(add(new SimulatedNode(this, id, Optional.empty(), region)));
        }
        for (MemberLocation location : locations) {
            members.add(
                    add(
                            new SimulatedNode(
                                    this,
                                    location.member(),
                                    Optional.of(location),
                                    location.region())));
        }
    }

    private SimulatedNode add(SimulatedNode node) {
        nodes.put(node.id, node);
        return node;
    }

    /** The current simulated time in ticks. */
    public long now() {
        return events.now();
    }

    /** All members, whether running or not. */
    public List<SimulatedNode> members() {
        return members;
    }

    /** All control machines, whether running or not. */
    public List<SimulatedNode> controls() {
        return controls;
    }

    /** Returns the node with an id, or null. */
    public SimulatedNode node(MemberId id) {
        return nodes.get(id);
    }

    /** The tree that assigns candidate parents to members. */
    public RelayTree tree() {
        return tree;
    }

    /** The size in bytes, including the frame, of the largest message sent so far. */
    public int largestMessage() {
        return largestMessage;
    }

    /** The candidate parents of a node, the preferred one first. */
    List<MemberId> candidates(SimulatedNode node) {
        if (!node.isMember()) {
            return layout.controlIds().stream().filter(id -> !id.equals(node.id)).toList();
        }
        return direct ? tree.controlsFor(node.id.name()) : tree.parentsOf(node.id);
    }

    /** Starts all nodes, the first control machine as the publisher of epoch 1. */
    public void startAll() {
        controls.forEach(this::start);
        members.forEach(this::start);
        startPublisher(controls.get(0), 1);
    }

    /** Starts or restarts a node with the change it last had in force. */
    public void start(SimulatedNode node) {
        node.start();
    }

    /** Restarts a node that has lost the change it had in force. */
    public void startEmpty(SimulatedNode node) {
        node.startEmpty();
    }

    /** Makes a control machine the publisher; it continues the log it has received. */
    public void startPublisher(SimulatedNode node, long epoch) {
        startPublisher(node, epoch, node.subscriber().log());
    }

    /** Makes a control machine the publisher; it continues the given log. */
    public void startPublisher(SimulatedNode node, long epoch, RetainedLog log) {
        List<MemberLocation> all = members.stream().map(member -> member.location.get()).toList();
        node.startPublisher(epoch, log, all);
    }

    /** Publishes a change from a node that is the publisher; returns its position. */
    public Position publish(SimulatedNode node, byte[] body, boolean superseding) {
        return node.publish(body, superseding);
    }

    /** Ends a node's process without any notice to other nodes. */
    public void crash(SimulatedNode node) {
        node.crash();
    }

    /** Suspends a node's process; messages are buffered until it is thawed. */
    public void freeze(SimulatedNode node) {
        node.freeze();
    }

    /** Resumes a frozen node, which then handles its buffered messages. */
    public void thaw(SimulatedNode node) {
        node.thaw();
    }

    /**
     * Moves a node to one side of a partition. All nodes start on side 0; messages between
     * different sides are lost.
     */
    public void setPartition(SimulatedNode node, int side) {
        node.setPartition(side);
    }

    /** Shifts a node's clock by a number of ticks, which may be negative. */
    public void shiftClock(SimulatedNode node, long by) {
        node.shiftClock(by);
    }

    /** Runs the simulation for a time span. */
    public void advance(long span) {
        events.runUntil(events.now() + span);
    }

    /** Schedules an action to run after a time span. */
    public void schedule(long span, Runnable action) {
        events.schedule(span, action);
    }

    /** The members that are running and not frozen. */
    public List<SimulatedNode> runningMembers() {
        return members.stream().filter(node -> node.isRunning() && !node.isFrozen()).toList();
    }

    /** The running members that have neither this change nor a later one in force. */
    public List<SimulatedNode> membersWithout(Position position) {
        return runningMembers().stream().filter(node -> position.isAfter(node.inForce())).toList();
    }

    /**
     * Runs the simulation until all running members have a change in force; returns the time taken,
     * or -1 if the limit is reached first.
     */
    public long advanceUntilInForce(Position position, long limit) {
        long start = events.now();
        while (!membersWithout(position).isEmpty()) {
            if (events.now() - start >= limit) {
                return -1;
            }
            advance(MEASURING_STEP);
        }
        return events.now() - start;
    }
}
