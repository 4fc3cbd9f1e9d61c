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

/** Measures how fast changes come into force at all members, and at what cost. */
public final class PropagationRuns implements PropagationObserver {
    private static final long SECOND = PropagationNet.SECOND;
    private static final long SETTLE = 10 * SECOND;
    private static final long KILL_DELAY = 50 * Ticks.MILLISECOND;
    private static final long RESTART_DELAY = 15 * SECOND;
    private static final long FINAL_WAIT = 30 * SECOND;

    /**
     * What is to be measured.
     *
     * @param direct without relays
     * @param loss part of messages lost
     * @param killRelay whether a relay is killed with each change under way
     * @param bodyBytes of each change
     * @param superseding whether each change replaces those before it
     * @param every a change is published this often
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
            long every,
            long seed) {}

    /** Spans in seconds; of those that came to an end. */
    public record Spans(double median, double ninetyNine, double worst, int never) {
        static Spans of(List<Long> spans, int expected) {
            List<Long> sorted = spans.stream().sorted().toList();
            return new Spans(
                    percentile(sorted, 0.5),
                    percentile(sorted, 0.99),
                    percentile(sorted, 1),
                    expected - spans.size());
        }

        private static double percentile(List<Long> sorted, double part) {
            if (sorted.isEmpty()) {
                return Double.NaN;
            }
            int index = (int) Math.ceil(part * sorted.size()) - 1;
            return sorted.get(Math.max(0, index)) / (double) SECOND;
        }
    }

    /** Bytes and messages a second: the mean of some processes, and the most that one has. */
    public record Traffic(
            double sent, double mostSent, double received, double mostReceived, double messages) {}

    /**
     * What was measured.
     *
     * @param inForce from publishing until all living members have it in force
     * @param known until the publisher knows that
     * @param quietMembers while nothing changes
     * @param members while changes are published
     * @param controls while changes are published
     * @param mostChildren of any process at the end
     * @param violations what must not happen but did
     */
    public record Result(
            Spans inForce,
            Spans known,
            Traffic quietMembers,
            Traffic members,
            Traffic controls,
            int mostChildren,
            int violations) {}

    private record PendingChange(Position position, long publishedAt) {}

    private record TrafficCounters(long sent, long received, long messages) {}

    private final Plan plan;
    private final PropagationNet net;
    private final SimulatedNode source;
    private final Deque<PendingChange> awaitingInForce = new ArrayDeque<>();
    private final Deque<PendingChange> awaitingConfirmation = new ArrayDeque<>();
    private final List<Long> inForceDelays = new ArrayList<>();
    private final List<Long> confirmationDelays = new ArrayList<>();
    private int applied;

    private PropagationRuns(Plan plan) {
        this.plan = plan;
        net = new PropagationNet(plan.layout, plan.settings, plan.direct, plan.seed);
        source = net.controls().get(0);
        net.observer = this;
    }

    /** Runs a plan. */
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
            net.advance(plan.every);
        }
        long span = net.now() - from;
        Traffic members = traffic(net.members(), before, span);
        Traffic controls = traffic(net.controls(), controlsBefore, span);
        net.advance(FINAL_WAIT);
        int children =
                net.runningMembers().stream().mapToInt(SimulatedNode::downstreams).max().orElse(0);
        int controlChildren =
                net.controls().stream().mapToInt(SimulatedNode::downstreams).max().orElse(0);
        return new Result(
                Spans.of(inForceDelays, plan.changes),
                Spans.of(confirmationDelays, plan.changes),
                quiet,
                members,
                controls,
                Math.max(children, controlChildren),
                net.violations.size());
    }

    private void publish() {
        Position position = net.publish(source, new byte[plan.bodyBytes], plan.superseding);
        PendingChange open = new PendingChange(position, net.now());
        awaitingInForce.add(open);
        awaitingConfirmation.add(open);
        applied = 0;
    }

    /** In turn a relay of a region and one of a site: the member there that has most children. */
    private void killRelay(int number) {
        int regions = plan.layout.regions();
        int sites = plan.layout.sites();
        boolean isRegion = number % 2 == 0;
        String place = isRegion ? "r" + number / 2 % regions : "s" + number / 2 % sites;
        SimulatedNode victim =
                net.runningMembers().stream()
                        .filter(node -> isAt(node, place))
                        .max(Comparator.comparingInt(SimulatedNode::downstreams))
                        .orElseThrow();
        net.crash(victim);
        checkInForce();
        net.schedule(RESTART_DELAY, () -> net.start(victim));
    }

    private static boolean isAt(SimulatedNode node, String place) {
        return node.location.get().region().equals(place)
                || node.location.get().site().equals(place);
    }

    @Override
    public void onApplied(SimulatedNode node, Position before, Position after) {
        applied++;
        // Looking at all members is dear, and in vain until most have applied something.
        if (plan.killRelay || applied >= plan.layout.members() || awaitingInForce.size() > 1) {
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

    /** Those that do not run are excepted, as whoever assigns relays would except them. */
    private boolean isKnown(Position position) {
        if (source.publisher() == null) {
            return false;
        }
        int living = net.runningMembers().size();
        return source.publisher().coverage(position).inForce() >= living;
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

    private static Traffic traffic(List<SimulatedNode> nodes, List<TrafficCounters> before, long span) {
        List<TrafficCounters> spent = new ArrayList<>();
        List<TrafficCounters> after = readCounters(nodes);
        for (int i = 0; i < nodes.size(); i++) {
            TrafficCounters now = after.get(i);
            TrafficCounters then = before.get(i);
            spent.add(
                    new TrafficCounters(
                            now.sent - then.sent,
                            now.received - then.received,
                            now.messages - then.messages));
        }
        double seconds = span / (double) SECOND;
        return new Traffic(
                mean(spent, TrafficCounters::sent) / seconds,
                max(spent, TrafficCounters::sent) / seconds,
                mean(spent, TrafficCounters::received) / seconds,
                max(spent, TrafficCounters::received) / seconds,
                mean(spent, TrafficCounters::messages) / seconds);
    }

    private static double mean(List<TrafficCounters> counted, ToLongFunction<TrafficCounters> of) {
        return counted.stream().mapToLong(of).average().orElse(0);
    }

    private static double max(List<TrafficCounters> counted, ToLongFunction<TrafficCounters> of) {
        return counted.stream().mapToLong(of).max().orElse(0);
    }
}
