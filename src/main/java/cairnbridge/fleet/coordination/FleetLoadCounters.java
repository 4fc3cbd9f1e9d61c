package cairnbridge.fleet.coordination;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.member.MemberMetrics.Reachability;
import cairnbridge.hash.Fnv1a;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Counts this proxy's own requests and attempts for the metrics that it announces to its fleet. One
 * thread records and publishes; methods that any thread may call are marked. A proxy outside a
 * fleet has no such counters.
 */
public final class FleetLoadCounters {
    /** An attempt cancelled with less than this left of its request's time counts as unanswered. */
    private static final long NEARLY_EXPIRED = 20 * Ticks.MILLISECOND;

    private static final long PROBE_INTERVAL = Ticks.SECOND;
    private static final int PROBES_AT_ONCE = 4;
    private static final int NODE_FAILURE_THRESHOLD = 2;
    private static final int ZONE_FAILURE_THRESHOLD = 4;

    private final ReachabilityReport nodes = new ReachabilityReport(NODE_FAILURE_THRESHOLD);

    /**
     * By zone: where a zone has many nodes, each node is used too rarely to reach its own failure
     * threshold.
     */
    private final ReachabilityReport zones = new ReachabilityReport(ZONE_FAILURE_THRESHOLD);

    private final ZoneOutcomeCounters outcomes = new ZoneOutcomeCounters();
    private final RequestRates rates;
    private final Set<Long> knownNodes = new HashSet<>();

    /** Hash of the zone name of each cache node. */
    private final Map<NodeId, Long> zoneOf = new HashMap<>();

    private final List<String> zoneNames;
    private final MachineKind originKind;
    private final List<Settings.Category> categories;
    private volatile Reachability published = Reachability.ALL;
    private long probedAt;

    /**
     * Creates counters that start at zero.
     *
     * @param zoneNames the names of the zones, in the order of their numbers in the endpoint list
     */
    public FleetLoadCounters(List<String> zoneNames, Settings settings, long now) {
        this.zoneNames = zoneNames;
        originKind = settings.origin().machineKind();
        categories = settings.categories();
        rates = new RequestRates(categories.size(), now);
    }

    /** Records an accepted request of a category. Any thread may call this. */
    public void requestAccepted(int category) {
        rates.requestAccepted(category);
    }

    /** Applies a change of the endpoint list. */
    public void endpointListChanged(Event.EndpointListReceived change) {
        if (change.scope() != Event.ListScope.CHANGES && !change.endpoints().isEmpty()) {
            knownNodes.clear();
            zoneOf.clear();
        }
        change.endpoints().forEach(this::update);
        nodes.retain(knownNodes);
        zones.retain(zoneOf.values());
    }

    private void update(Event.Endpoint endpoint) {
        boolean gone = endpoint.state() == Event.NodeState.GONE;
        if (gone) {
            knownNodes.remove(endpoint.node().value());
        } else {
            knownNodes.add(endpoint.node().value());
        }
        int zone = endpoint.zone().value();
        // Guards against a failed zone that appears reachable to all members because the origin is
        // in it.
        boolean origin = endpoint.kind().equals(originKind);
        if (gone || origin || zone >= zoneNames.size()) {
            zoneOf.remove(endpoint.node());
        } else {
            zoneOf.put(endpoint.node(), Fnv1a.hash(zoneNames.get(zone)));
        }
    }

    /** Records the outcome of a health check. */
    public void probeEnded(NodeId node, AttemptOutcome outcome, long now) {
        recordReachability(node, outcome, 0, now);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param duration the time that the attempt took
     * @param timeLeft the time left until the deadline of its request
     */
    public void attemptEnded(
            NodeId node,
            int category,
            AttemptOutcome outcome,
            long duration,
            long timeLeft,
            long now) {
        recordReachability(node, outcome, timeLeft, now);
        Long zone = zoneOf.get(node);
        if (zone != null && isConclusive(outcome, timeLeft)) {
            boolean answered =
                    outcome == AttemptOutcome.SUCCESS
                            || outcome == AttemptOutcome.CACHE_MISS
                            || outcome == AttemptOutcome.OVERLOADED;
            boolean late = duration > categories.get(category).latencyObjective();
            outcomes.record(zone, !answered || late, now);
        }
    }

    private void recordReachability(NodeId node, AttemptOutcome outcome, long timeLeft, long now) {
        if (!isConclusive(outcome, timeLeft)) {
            return;
        }
        boolean reached =
                switch (outcome) {
                    case TIMED_OUT, CANCELLED, CONNECT_FAILED, CONNECTION_LOST -> false;
                    default -> true;
                };
        nodes.record(node.value(), reached, now);
        Long zone = zoneOf.get(node);
        if (zone != null) {
            zones.record(zone, reached, now);
        }
    }

    /**
     * Whether an outcome shows that the node can, or cannot, be reached. A cancelled attempt shows
     * it only if the time of its request was over.
     */
    private static boolean isConclusive(AttemptOutcome outcome, long timeLeft) {
        return outcome != AttemptOutcome.NOT_SENT
                && (outcome != AttemptOutcome.CANCELLED || timeLeft <= NEARLY_EXPIRED);
    }

    /** Publishes the current counts to other threads. */
    public void publish(long now) {
        published =
                new Reachability(
                        nodes.unreachable(now), outcomes.outcomes(now), zones.unreachable(now));
    }

    /** The counts published last. Any thread may call this. */
    public Reachability reachability() {
        return published;
    }

    /**
     * Unreachable nodes to be probed now: a few once a second, those whose last failure is oldest.
     * Guards against a zone that gets its traffic back only because no member has tried it for a
     * while. Called by one thread.
     */
    public List<NodeId> nodesToProbe(long now) {
        if (now - probedAt < PROBE_INTERVAL) {
            return List.of();
        }
        probedAt = now;
        List<Long> unreachable = published.unreachableNodes();
        int first = Math.max(0, unreachable.size() - PROBES_AT_ONCE);
        return unreachable.subList(first, unreachable.size()).stream().map(NodeId::new).toList();
    }

    /** Accepted requests per second, smoothed. Any thread may call this. */
    public long requestsPerSecond(long now) {
        return rates.total(now);
    }

    /**
     * Accepted requests per second by category, as of the last call of {@link #requestsPerSecond}.
     */
    public double[] requestsPerSecondByCategory() {
        return rates.byCategory();
    }
}
