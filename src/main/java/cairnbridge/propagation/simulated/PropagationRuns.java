package cairnbridge.propagation.simulated;

import cairnbridge.propagation.Position;
import cairnbridge.propagation.PropagationSettings;
import cairnbridge.time.Ticks;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.function.ToLongFunction;

/**
 * Measures how long changes take to come into force at all members, and how much traffic that
 * takes.
 */
public final class PropagationRuns implements PropagationObserver {
    private static final long SECOND = PropagationNet.SECOND;
    private static final long SETTLE = 10 * SECOND;
    private static final long KILL_DELAY = 50 * Ticks.MILLISECOND;
    private static final long RESTART_DELAY = 15 * SECOND;
    private static final long FINAL_WAIT = 30 * SECOND;

    /**
     * The fleet, the settings and the changes of one run.
     *
     * @param direct whether members subscribe directly to control machines, without relays
     * @param loss the probability that a message is lost
     * @param killRelay whether a relay is killed while each change propagates
     * @param bodyBytes the size of the body of each change
     * @param superseding whether each change replaces all earlier ones
     * @param publishInterval the interval between changes, in ticks
     */
    public record Plan(
            FleetLayout layout,
            PropagationSettings settings,
            boolean direct,
            double loss,
            boolean killRelay,
            int changes,
            int bodyBytes,
            boolean superseding,
            long publishInterval,
            long seed) {}

    /**
     * Percentiles, in seconds, of the delays of changes that completed, and the number that did
     * not.
     */
    public record Delays(double median, double percentile99, double worst, int incomplete) {
        static Delays of(List<Long> delays, int expected) {
            List<Long> sorted = delays.stream().sorted().toList();
            return new Delays(
                    percentile(sorted, 0.5),
                    percentile(sorted, 0.99),
                    percentile(sorted, 1),
                    expected - delays.size());
        }

        private static double percentile(List<Long> sorted, double fraction) {
            if (sorted.isEmpty()) {
                return Double.NaN;
            }
            int index = (int) Math.ceil(fraction * sorted.size()) - 1;
            return sorted.get(Math.max(0, index)) / (double) SECOND;
        }
    }

    /**
     * Bytes and messages per second of a group of processes: the mean, and for bytes also the
     * maximum of one process.
     */
    public record Traffic(
            double sent, double maxSent, double received, double maxReceived, double messages) {}

    /**
     * The measurements of one run.
     *
     * @param inForce the time from publishing a change until all running members have it in force
     * @param known the time from publishing a change until the publisher knows that all running
     *     members have it in force
     * @param quietMembers traffic of the members while no changes are published
     * @param members traffic of the members while changes are published
     * @param controls traffic of the control machines while changes are published
     * @param maxDownstreams the maximum number of downstreams of any process at the end
     * @param violations the number of violated invariants
     */
    public record Result(
            Delays inForce,
            Delays known,
            Traffic quietMembers,
            Traffic members,
            Traffic controls,
            int maxDownstreams,
            int violations) {}

    private record PendingChange(Position position, long publishedAt) {}

    private record TrafficCounters(long sent, long received, long messages) {}

    private final Plan plan;
    private final PropagationNet net;
    private final SimulatedNode publisherNode;
    private final Deque<PendingChange> awaitingInForce = new ArrayDeque<>();
    private final Deque<PendingChange> awaitingConfirmation = new ArrayDeque<>();
    private final List<Long> inForceDelays = new ArrayList<>();
    private final List<Long> confirmationDelays = new ArrayList<>();
    private int appliedCount;

    private PropagationRuns(Plan plan) {
        this.plan = plan;
        net = new PropagationNet(plan.layout, plan.settings, plan.direct, plan.seed);
        publisherNode = net.controls().get(0);
        net.observer = this;
    }

    /** Runs a plan on a new simulated network. */
    public static Result run(Plan plan) {
        return new PropagationRuns(plan).run();
    }

    private Result run() {
        net.startAll();
        net.advance(SETTLE);
        net.loss = plan.loss;
        net.advance(SETTLE);
        List<TrafficCounters> before = readCounters(net.members());
        net.advance(SETTLE);
        Traffic quiet = traffic(net.members(), before, SETTLE);
        before = readCounters(net.members());
        List<TrafficCounters> controlsBefore = readCounters(net.controls());
        long from = net.now();
        for (int i = 0; i < plan.changes; i++) {
            publish();
            if (plan.killRelay) {
                int number = i;
                net.schedule(KILL_DELAY, () -> killRelay(number));
            }
            net.advance(plan.publishInterval);
        }
        long span = net.now() - from;
        Traffic members = traffic(net.members(), before, span);
        Traffic controls = traffic(net.controls(), controlsBefore, span);
        net.advance(FINAL_WAIT);
        int memberDownstreams =
                net.runningMembers().stream().mapToInt(SimulatedNode::downstreams).max().orElse(0);
        int controlDownstreams =
                net.controls().stream().mapToInt(SimulatedNode::downstreams).max().orElse(0);
        return new Result(
                Delays.of(inForceDelays, plan.changes),
                Delays.of(confirmationDelays, plan.changes),
                quiet,
                members,
                controls,
                Math.max(memberDownstreams, controlDownstreams),
                net.violations.size());
    }

    private void publish() {
        Position position = net.publish(publisherNode, new byte[plan.bodyBytes], plan.superseding);
        PendingChange pending = new PendingChange(position, net.now());
        awaitingInForce.add(pending);
        awaitingConfirmation.add(pending);
        appliedCount = 0;
    }

    /**
     * Kills alternately a region relay and a site relay: the member there with the most
     * downstreams.
     */
    private void killRelay(int number) {
        int regions = plan.layout.regions();
        int sites = plan.layout.sites();
        boolean isRegion = number % 2 == 0;
        String regionOrSite = isRegion ? "r" + number / 2 % regions : "s" + number / 2 % sites;
        SimulatedNode victim =
                net.runningMembers().stream()
                        .filter(node -> isAt(node, regionOrSite))
                        .max(Comparator.comparingInt(SimulatedNode::downstreams))
                        .orElseThrow();
        net.crash(victim);
        checkInForce();
        net.schedule(RESTART_DELAY, () -> net.start(victim));
    }

    private static boolean isAt(SimulatedNode node, String regionOrSite) {
        return node.location.get().region().equals(regionOrSite)
                || node.location.get().site().equals(regionOrSite);
    }

    @Override
    public void onApplied(SimulatedNode node, Position before, Position after) {
        appliedCount++;
        // Checking all members is expensive, and cannot succeed until most have applied a change.
        if (plan.killRelay || appliedCount >= plan.layout.members() || awaitingInForce.size() > 1) {
            checkInForceOf(node);
        }
    }

    private void checkInForceOf(SimulatedNode node) {
        PendingChange oldest = awaitingInForce.peek();
        if (oldest != null && !oldest.position.isAfter(node.inForce())) {
            checkInForce();
        }
    }

    private void checkInForce() {
        while (!awaitingInForce.isEmpty() && isInForce(awaitingInForce.peek().position)) {
            inForceDelays.add(net.now() - awaitingInForce.poll().publishedAt);
        }
    }

    private boolean isInForce(Position position) {
        for (SimulatedNode node : net.members()) {
            if (node.isRunning() && position.isAfter(node.inForce())) {
                return false;
            }
        }
        return true;
    }

    @Override
    public void onReported(SimulatedNode node) {
        while (!awaitingConfirmation.isEmpty() && isKnown(awaitingConfirmation.peek().position)) {
            confirmationDelays.add(net.now() - awaitingConfirmation.poll().publishedAt);
        }
    }

    /**
     * Members that are not running are not counted, because the assignment of relays would exclude
     * them as well.
     */
    private boolean isKnown(Position position) {
        if (publisherNode.publisher() == null) {
            return false;
        }
        int living = net.runningMembers().size();
        return publisherNode.publisher().coverage(position).inForce() >= living;
    }

    private static List<TrafficCounters> readCounters(List<SimulatedNode> nodes) {
        return nodes.stream()
                .map(
                        node ->
                                new TrafficCounters(
                                        node.bytesSent(),
                                        node.bytesReceived(),
                                        node.messagesSent()))
                .toList();
    }

    private static Traffic traffic(
            List<SimulatedNode> nodes, List<TrafficCounters> before, long span) {
        List<TrafficCounters> differences = new ArrayList<>();
        List<TrafficCounters> after = readCounters(nodes);
        for (int i = 0; i < nodes.size(); i++) {
            TrafficCounters end = after.get(i);
            TrafficCounters start = before.get(i);
            differences.add(
                    new TrafficCounters(
                            end.sent - start.sent,
                            end.received - start.received,
                            end.messages - start.messages));
        }
        double seconds = span / (double) SECOND;
        return new Traffic(
                mean(differences, TrafficCounters::sent) / seconds,
                max(differences, TrafficCounters::sent) / seconds,
                mean(differences, TrafficCounters::received) / seconds,
                max(differences, TrafficCounters::received) / seconds,
                mean(differences, TrafficCounters::messages) / seconds);
    }

    private static double mean(
            List<TrafficCounters> counted, ToLongFunction<TrafficCounters> counter) {
        return counted.stream().mapToLong(counter).average().orElse(0);
    }

    private static double max(
            List<TrafficCounters> counted, ToLongFunction<TrafficCounters> counter) {
        return counted.stream().mapToLong(counter).max().orElse(0);
    }
}
