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
 * Members and control machines on a simulated network. The same seed and the same calls give the
 * same run. Times are ticks.
 *
 * <p>Every member checks what it is told to put into force: a change that is not newer than the one
 * in force, or that it has rejected before, is added to {@link #violations}.
 */
public final class PropagationNet {
    /** One second of simulated time. */
    public static final long SECOND = Ticks.SECOND;

    /** How closely {@link #advanceUntilInForce} measures. */
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

    /** Broken invariants, in words. */
    public final List<String> violations = new ArrayList<>();

    /** Follows the run; null for none. */
    public PropagationObserver observer;

    /** The share of messages that is lost, from 0 to 1. */
    public double loss;

    /** The share of messages that is delivered twice, from 0 to 1. */
    public double duplicated;

    /**
     * A net whose nodes are all stopped.
     *
     * @param direct whether all members subscribe to control machines, without relays
     */
    public PropagationNet(
            FleetLayout layout, PropagationSettings settings, boolean direct, long seed) {
        this.layout = layout;
        this.settings = settings;
        this.direct = direct;
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        latency = new SimulatedLatency(random);
        List<MemberLocation> placements = layout.locations();
        tree = new RelayTree(layout.controlIds(), placements);
        for (MemberId id : layout.controlIds()) {
            String region = "r" + controls.size() % layout.regions();
            controls.add(add(new SimulatedNode(this, id, Optional.empty(), region)));
        }
        for (MemberLocation place : placements) {
            members.add(
                    add(
                            new SimulatedNode(
                                    this, place.member(), Optional.of(place), place.region())));
        }
    }

    private SimulatedNode add(SimulatedNode node) {
        nodes.put(node.id, node);
        return node;
    }

    /** The current simulated time. */
    public long now() {
        return events.now();
    }

    /** All members. */
    public List<SimulatedNode> members() {
        return members;
    }

    /** All control machines. */
    public List<SimulatedNode> controls() {
        return controls;
    }

    /** The node of a name. */
    public SimulatedNode node(MemberId id) {
        return nodes.get(id);
    }

    /** Who subscribes to whom. */
    public RelayTree tree() {
        return tree;
    }

    /** The largest message so far, with its frame. */
    public int largestMessage() {
        return largestMessage;
    }

    /** Whom a node may subscribe to, best first. */
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

    /** Starts a node again, with the change that was in force last. */
    public void start(SimulatedNode node) {
        node.start();
    }

    /** Starts a node again that has lost what was in force. */
    public void startEmpty(SimulatedNode node) {
        node.startEmpty();
    }

    /** Makes a control machine the publisher, continuing the log it has received. */
    public void startPublisher(SimulatedNode node, long epoch) {
        startPublisher(node, epoch, node.subscriber().log());
    }

    /** Makes a control machine the publisher, continuing any log. */
    public void startPublisher(SimulatedNode node, long epoch, RetainedLog log) {
        List<MemberLocation> all = members.stream().map(member -> member.location.get()).toList();
        node.startPublisher(epoch, log, all);
    }

    /** Has a publisher publish a change. */
    public Position publish(SimulatedNode node, byte[] body, boolean superseding) {
        return node.publish(body, superseding);
    }

    /** Ends a node's process. */
    public void crash(SimulatedNode node) {
        node.crash();
    }

    /** Stops a node's process; messages are buffered until it goes on. */
    public void freeze(SimulatedNode node) {
        node.freeze();
    }

    /** Lets a frozen node go on. */
    public void thaw(SimulatedNode node) {
        node.thaw();
    }

    /** Puts a node on one side of a partition; all begin on side 0 and hear only their side. */
    public void setPartition(SimulatedNode node, int side) {
        node.setPartition(side);
    }

    /** Moves a node's clock. */
    public void shiftClock(SimulatedNode node, long by) {
        node.shiftClock(by);
    }

    /** Lets simulated time pass. */
    public void advance(long span) {
        events.runUntil(events.now() + span);
    }

    /** Schedules an action. */
    public void schedule(long span, Runnable what) {
        events.schedule(span, what);
    }

    /** The members that run and are not frozen. */
    public List<SimulatedNode> runningMembers() {
        return members.stream().filter(node -> node.isRunning() && !node.isFrozen()).toList();
    }

    /** Running members that have neither a change nor a later one in force. */
    public List<SimulatedNode> membersWithout(Position position) {
        return runningMembers().stream().filter(node -> position.isAfter(node.inForce())).toList();
    }

    /** Lets time pass until all running members have a change in force; the time taken, or -1. */
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
