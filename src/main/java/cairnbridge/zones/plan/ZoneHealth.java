package cairnbridge.zones.plan;

import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.ZoneOutcome;
import cairnbridge.hash.Fnv1a;
import cairnbridge.time.Ticks;
import cairnbridge.zones.plan.ZoneStatus.Condition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Derives the status of each zone from the announcements of members and the endpoint list. A node
 * or zone counts as unreachable or degraded only if most members that send requests to it report
 * so: a report of a single member may be due to a fault of that member.
 */
public final class ZoneHealth {
    /**
     * A zone counts as degraded once its failures have exceeded the upper limit for this long. It
     * counts as healthy again once they have been below the lower limit for {@code HEALTHY_AFTER}.
     */
    private static final long DEGRADED_AFTER = 15 * Ticks.SECOND / 10;

    private static final long HEALTHY_AFTER = 3 * Ticks.SECOND;

    /**
     * The share of failed attempts from which a zone looks degraded; it looks healthy below {@code
     * HEALTHY_FAILURES}.
     */
    private static final double DEGRADED_FAILURES = 0.25;

    private static final double HEALTHY_FAILURES = 0.1;

    /** With fewer attempts the share of failures is not significant. */
    private static final long MIN_ATTEMPTS = 10;

    /**
     * If at least {@code MIN_RECENT_MEMBERS} members have announced within this time, only their
     * announcements count.
     */
    private static final long RECENT_INTERVAL = 3 * Ticks.SECOND;

    private static final int MIN_RECENT_MEMBERS = 6;

    /**
     * The request rates that nodes can serve.
     *
     * @param requestsPerSecond the rate that a node of size one serves after its slow start
     * @param slowStartFactor the fraction of that rate at the node's start; it rises linearly to 1
     * @param slowStartDuration the duration of that rise, in ticks
     * @param regions region by zone
     */
    public record NodeRates(
            double requestsPerSecond,
            double slowStartFactor,
            long slowStartDuration,
            Map<String, String> regions) {
        private double capacityOf(ListedNode node, long unixMillis) {
            return node.size() * requestsPerSecond * slowStartShare(node, unixMillis);
        }

        private double slowStartShare(ListedNode node, long unixMillis) {
            long age = Ticks.fromMillis(unixMillis - node.startedMillis());
            if (node.startedMillis() <= 0 || slowStartDuration <= 0 || age >= slowStartDuration) {
                return 1;
            }
            double progress = (double) Math.max(0, age) / slowStartDuration;
            return slowStartFactor + (1 - slowStartFactor) * progress;
        }
    }

    /**
     * Whether a zone counts as degraded, with hysteresis: the change requires that the zone has
     * looked degraded or healthy for some time.
     */
    private static final class DegradationState {
        private static final long UNSET = -1;
        private long degradedSince = UNSET;
        private long healthySince = UNSET;
        private boolean degraded;

        boolean update(boolean looksDegraded, boolean looksHealthy, long now) {
            degradedSince = since(degradedSince, looksDegraded, now);
            healthySince = since(healthySince, looksHealthy, now);
            if (degradedSince >= 0 && now - degradedSince >= DEGRADED_AFTER) {
                degraded = true;
            } else if (healthySince >= 0 && now - healthySince >= HEALTHY_AFTER) {
                degraded = false;
            }
            return degraded;
        }

        private static long since(long before, boolean condition, long now) {
            if (!condition) {
                return UNSET;
            }
            return before < 0 ? now : before;
        }
    }

    /** The metadata version that a member last announced, and the time of its receipt. */
    private record LastAnnouncement(
            Incarnation incarnation, long metadataVersion, long receivedAt) {
        private boolean matches(MemberState member) {
            return metadataVersion == member.metadataVersion()
                    && incarnation.isSameGeneration(member.incarnation());
        }
    }

    private final NodeRates rates;
    private final Map<Zone, DegradationState> degradations = new HashMap<>();
    private final Map<MemberId, LastAnnouncement> announcements = new HashMap<>();

    /** Creates an evaluation for nodes with these rates. */
    public ZoneHealth(NodeRates rates) {
        this.rates = rates;
    }

    /**
     * Returns the status of each zone that has a node in the endpoint list or a live member.
     *
     * @param live the live members
     * @param listedNodes the nodes of the endpoint list
     * @param unixMillis the wall-clock time, compared with the start times of nodes
     */
    public List<ZoneStatus> evaluate(
            List<MemberState> live, List<ListedNode> listedNodes, long now, long unixMillis) {
        Map<Zone, List<ListedNode>> nodesByZone = new TreeMap<>();
        for (ListedNode node : listedNodes) {
            nodesByZone.computeIfAbsent(node.zone(), zone -> new ArrayList<>()).add(node);
        }
        Map<Zone, Double> demand = demand(live);
        demand.keySet()
                .forEach(zone -> nodesByZone.computeIfAbsent(zone, key -> new ArrayList<>()));
        List<MemberState> recent = recentlyAnnounced(live, now);
        List<ZoneStatus> statuses = new ArrayList<>();
        nodesByZone.forEach(
                (zone, nodes) -> {
                    double capacity = capacity(recent, zone, nodes, unixMillis);
                    Condition condition = condition(recent, zone, capacity, now);
                    statuses.add(
                            new ZoneStatus(
                                    zone,
                                    rates.regions().getOrDefault(zone.name(), ""),
                                    condition == Condition.UNREACHABLE ? 0 : capacity,
                                    demand.getOrDefault(zone, 0.0),
                                    condition));
                });
        return statuses;
    }

    private static Map<Zone, Double> demand(List<MemberState> live) {
        Map<Zone, Double> demand = new HashMap<>();
        for (MemberState member : live) {
            MemberMetadata metadata = member.metadata();
            if (metadata != null && !metadata.zone().isEmpty()) {
                double rate = metadata.metrics().load().requestsPerSecond();
                demand.merge(new Zone(metadata.zone()), rate, Double::sum);
            }
        }
        return demand;
    }

    private double capacity(
            List<MemberState> members, Zone zone, List<ListedNode> nodes, long unixMillis) {
        Set<Long> unreachable = unreachableNodes(members, nodes, zone);
        double capacity = 0;
        for (ListedNode node : nodes) {
            if (node.ready() && !unreachable.contains(node.id())) {
                capacity += rates.capacityOf(node, unixMillis);
            }
        }
        return capacity;
    }

    private Condition condition(List<MemberState> members, Zone zone, double capacity, long now) {
        if (capacity <= 0 || isUnreachable(zone, members)) {
            return Condition.UNREACHABLE;
        }
        return isDegraded(zone, members, now) ? Condition.DEGRADED : Condition.HEALTHY;
    }

    /**
     * Returns the members whose last announcement is recent, or all live members if these are too
     * few. Guards against late detection in a large fleet: each member announces rarely, so most
     * announcements are older than the failure. The members that announced recently are a
     * representative sample.
     */
    private List<MemberState> recentlyAnnounced(List<MemberState> live, long now) {
        Set<MemberId> present = new HashSet<>();
        List<MemberState> recent = new ArrayList<>();
        for (MemberState member : live) {
            present.add(member.id());
            LastAnnouncement last = announcements.get(member.id());
            if (last == null || !last.matches(member)) {
                announcements.put(
                        member.id(),
                        new LastAnnouncement(member.incarnation(), member.metadataVersion(), now));
                recent.add(member);
            } else if (now - last.receivedAt <= RECENT_INTERVAL) {
                recent.add(member);
            }
        }
        announcements.keySet().retainAll(present);
        return recent.size() < MIN_RECENT_MEMBERS ? live : recent;
    }

    /**
     * Whether most of the members that send requests to the zone, or that cannot reach it, report
     * it as unreachable.
     */
    private static boolean isUnreachable(Zone zone, List<MemberState> members) {
        long hash = Fnv1a.hash(zone.name());
        int senders = 0;
        int reporters = 0;
        for (MemberState member : members) {
            if (hasStarted(member)) {
                MemberMetrics.Reachability reachability = reachability(member);
                boolean reports = reachability.unreachableZones().contains(hash);
                boolean sends = reachability.outcomeOf(hash).attempts() > 0;
                senders += reports || sends ? 1 : 0;
                reporters += reports ? 1 : 0;
            }
        }
        return 2 * reporters > senders && reporters >= minReporters(members, zone, senders);
    }

    private static boolean hasStarted(MemberState member) {
        return member.metadata() != null
                && member.metadata().lifecycle() != MemberMetadata.Lifecycle.STARTING;
    }

    private static MemberMetrics.Reachability reachability(MemberState member) {
        return member.metadata().metrics().reachability();
    }

    /**
     * The number of members that must report a zone or node as unreachable: 2, so that a fault of
     * one member does not suffice; 1 if only one member sends requests to the zone and only one
     * member runs in it, as no other member could confirm the report.
     */
    private static long minReporters(List<MemberState> members, Zone zone, int senders) {
        long inZone = members.stream().filter(member -> member.isInZone(zone.name())).count();
        return senders == 1 && inZone == 1 ? 1 : 2;
    }

    /** Returns the nodes that most of the members that send requests to the zone cannot reach. */
    private static Set<Long> unreachableNodes(
            List<MemberState> members, List<ListedNode> nodes, Zone zone) {
        long hash = Fnv1a.hash(zone.name());
        Set<Long> inZone = new HashSet<>();
        nodes.forEach(node -> inZone.add(node.id()));
        Map<Long, Integer> reporters = new HashMap<>();
        int senders = 0;
        for (MemberState member : members) {
            if (hasStarted(member)) {
                MemberMetrics.Reachability reachability = reachability(member);
                Set<Long> reported = new HashSet<>(reachability.unreachableNodes());
                reported.retainAll(inZone);
                if (!reported.isEmpty() || reachability.outcomeOf(hash).attempts() > 0) {
                    senders++;
                    reported.forEach(node -> reporters.merge(node, 1, Integer::sum));
                }
            }
        }
        long min = minReporters(members, zone, senders);
        int senderCount = senders;
        Set<Long> unreachable = new HashSet<>();
        reporters.forEach(
                (node, count) -> {
                    if (2 * count > senderCount && count >= min) {
                        unreachable.add(node);
                    }
                });
        return unreachable;
    }

    /**
     * Whether a zone counts as degraded: for some time, attempts have been late or failed at a high
     * rate, both overall and for most of the members that send requests there. The zone is healthy
     * again after some time with a lower rate of failures.
     */
    private boolean isDegraded(Zone zone, List<MemberState> members, long now) {
        long hash = Fnv1a.hash(zone.name());
        long attempts = 0;
        long failures = 0;
        int senders = 0;
        int reporters = 0;
        for (MemberState member : members) {
            if (member.metadata() != null) {
                ZoneOutcome outcome = reachability(member).outcomeOf(hash);
                long ownAttempts = Math.max(0, outcome.attempts());
                long ownFailures = Math.max(0, outcome.failures());
                if (ownAttempts >= MIN_ATTEMPTS) {
                    senders++;
                    reporters += ownFailures >= DEGRADED_FAILURES * ownAttempts ? 1 : 0;
                }
                attempts += ownAttempts;
                failures += ownFailures;
            }
        }
        boolean enough = attempts >= MIN_ATTEMPTS;
        boolean looksDegraded =
                enough
                        && failures >= DEGRADED_FAILURES * attempts
                        && 2 * reporters > senders
                        && reporters >= Math.min(2, members.size());
        boolean looksHealthy = enough ? failures < HEALTHY_FAILURES * attempts : failures == 0;
        return degradations
                .computeIfAbsent(zone, key -> new DegradationState())
                .update(looksDegraded, looksHealthy, now);
    }
}
