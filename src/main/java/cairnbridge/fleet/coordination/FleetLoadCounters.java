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
 * Counts this proxy's own requests and attempts for what it announces to its fleet. One thread
 * counts and publishes; methods that any thread may call say so. A proxy outside a fleet has none.
 */
public final class FleetLoadCounters {
    /** An attempt that was cancelled with less than this time left had got no answer. */
    private static final long NEARLY_EXPIRED = 20 * Ticks.MILLISECOND;

    private static final long PROBE_INTERVAL = Ticks.SECOND;
    private static final int PROBES_AT_ONCE = 4;
    private static final int NODE_FAILURE_THRESHOLD = 2;
    private static final int ZONE_FAILURE_THRESHOLD = 4;

    private final ReachabilityReport nodes = new ReachabilityReport(NODE_FAILURE_THRESHOLD);

    /** By zone: where a zone has many nodes, each is used too rarely to be found unreachable. */
    private final ReachabilityReport zones = new ReachabilityReport(ZONE_FAILURE_THRESHOLD);

    private final ZoneOutcomeCounters outcomes = new ZoneOutcomeCounters();
    private final RequestRates rates;
    private final Set<Long> knownNodes = new HashSet<>();

    /** Hashes of the zones' names, by cache node. */
    private final Map<NodeId, Long> zoneOf = new HashMap<>();

    private final List<String> zoneNames;
    private final MachineKind originKind;
    private final List<Settings.Category> categories;
    private volatile Reachability published = Reachability.ALL;
    private long probedAt;

    /**
     * Counters that start at zero.
     *
     * @param zoneNames the names of the zones, in the order of their numbers in the endpoint list
     */
    public FleetLoadCounters(List<String> zoneNames, Settings settings, long now) {
        this.zoneNames = zoneNames;
        originKind = settings.origin().machineKind();
        categories = settings.categories();
        rates = new RequestRates(categories.size(), now);
    }

    /** A request of a category was accepted. Any thread may call this. */
    public void requestAccepted(int category) {
        rates.requestAccepted(category);
    }

    /** The endpoint list has changed. */
    public void endpointListChanged(Event.EndpointListReceived change) {
        if (change.scope() != Event.ListScope.CHANGES && !change.endpoints().isEmpty()) {
            knownNodes.clear();
            zoneOf.clear();
        }
        change.endpoints().forEach(this::update);
        nodes.retain(knownNodes);
        zones.retain(zoneOf.values());
    }

    private void update(Event.Endpoint entry) {
        boolean gone = entry.state() == Event.NodeState.GONE;
        if (gone) {
            knownNodes.remove(entry.node().value());
        } else {
            knownNodes.add(entry.node().value());
        }
        int zone = entry.zone().value();
        // Guards against a zone that looks well to all because the origin stands in it.
        boolean origin = entry.kind().equals(originKind);
        if (gone || origin || zone >= zoneNames.size()) {
            zoneOf.remove(entry.node());
        } else {
            zoneOf.put(entry.node(), Fnv1a.hash(zoneNames.get(zone)));
        }
    }

    /** A health check has ended. */
    public void probeEnded(NodeId node, AttemptOutcome ending, long now) {
        recordReachability(node, ending, 0, now);
    }

    /**
     * An attempt has ended.
     *
     * @param duration how long it took
     * @param timeLeft what was left of its request's time
     */
    public void attemptEnded(
            NodeId node,
            int category,
            AttemptOutcome ending,
            long duration,
            long timeLeft,
            long now) {
        recordReachability(node, ending, timeLeft, now);
        Long zone = zoneOf.get(node);
        if (zone != null && isConclusive(ending, timeLeft)) {
            boolean answered =
                    ending == AttemptOutcome.SUCCESS
                            || ending == AttemptOutcome.CACHE_MISS
                            || ending == AttemptOutcome.OVERLOADED;
            boolean late = duration > categories.get(category).latencyObjective();
            outcomes.record(zone, !answered || late, now);
        }
    }

    private void recordReachability(NodeId node, AttemptOutcome ending, long timeLeft, long now) {
        if (!isConclusive(ending, timeLeft)) {
            return;
        }
        boolean reached =
                switch (ending) {
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
     * Whether an ending says anything about the node; that of a cancelled attempt does if its
     * request's time was over.
     */
    private static boolean isConclusive(AttemptOutcome ending, long timeLeft) {
        return ending != AttemptOutcome.NOT_SENT
                && (ending != AttemptOutcome.CANCELLED || timeLeft <= NEARLY_EXPIRED);
    }

    /** Makes what was counted so far readable for other threads. */
    public void publish(long now) {
        published =
                new Reachability(
                        nodes.unreachable(now), outcomes.outcomes(now), zones.unreachable(now));
    }

    /** What was published last. Any thread may call this. */
    public Reachability reachability() {
        return published;
    }

    /**
     * Unreachable nodes that are to be probed now, some once a second, those first whose last
     * failure is longest ago. Guards against a zone that gets its traffic back because nobody has
     * tried it for a while. For one thread.
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

    /** Requests accepted a second, smoothed. Any thread may call this. */
    public long requestsPerSecond(long now) {
        return rates.total(now);
    }

    /** The same by category, as of the last call of {@link #requestsPerSecond}. */
    public double[] requestsPerSecondByCategory() {
        return rates.byCategory();
    }
}
