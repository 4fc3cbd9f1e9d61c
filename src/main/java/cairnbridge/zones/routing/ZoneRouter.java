package cairnbridge.zones.routing;

import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Placement;
import cairnbridge.decision.Settings;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.Fnv1a;
import cairnbridge.hash.SplitMix64;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneRoute;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;

/**
 * Applies one zone's route to requests. The target zone of a key is chosen by weighted rendezvous
 * hashing (Schindelhauer and Schomaker 2005): a change of the shares moves the minimal set of keys,
 * and the same keys at every proxy.
 */
public final class ZoneRouter implements Placement {
    /**
     * Counts routing decisions since the start of the process, across all routes. Any thread may
     * read.
     */
    public static final class Counts {
        /**
         * Requests served in the home zone. {@code remote} counts those sent to other zones, {@code
         * shed} the rejected ones.
         */
        public final LongAdder local = new LongAdder();

        public final LongAdder remote = new LongAdder();
        public final LongAdder shed = new LongAdder();
    }

    /**
     * A zone's route as one proxy applies it.
     *
     * @param home the zone of the proxy
     * @param route the route of that zone's traffic
     * @param unreachable the zones that this proxy cannot reach
     * @param reroutedShare the share of the requests for an unreachable zone that is sent to other
     *     zones; the rest is shed
     */
    public record LocalRoute(
            Zone home, ZoneRoute route, Set<Zone> unreachable, double reroutedShare) {
        private double shed() {
            return (double) route.shed() / ZoneRoute.TOTAL;
        }
    }

    private record Target(ZoneId zone, long salt, double weight, boolean unreachable) {}

    private static final long ZONE_SALT = 0x7A6F6E65L;
    private static final long REROUTE_SALT = 0x616C6F6EL;

    /** The home zone's id; empty if the endpoint list does not contain the zone. */
    private final Optional<ZoneId> home;

    private final List<Target> targets = new ArrayList<>();
    private final double shed;
    private final double reroutedShare;
    private final Map<Settings.Category, Double> shedByCategory;
    private final Counts counts;

    /**
     * Creates a router for one route.
     *
     * @param zoneNames the names of the zones; the index of a name is the id of its zone
     * @param categories the classes of requests
     * @param rates the recent request rate of each category, in the order of the categories
     */
    public ZoneRouter(
            LocalRoute local,
            List<String> zoneNames,
            List<Settings.Category> categories,
            double[] rates,
            Counts counts) {
        this.counts = counts;
        home = id(local.home(), zoneNames);
        shed = local.shed();
        reroutedShare = local.reroutedShare();
        shedByCategory = LoadShedding.sharesToShed(categories, rates, shed);
        local.route()
                .targetsInOrder()
                .forEach(
                        (zone, share) ->
                                id(zone, zoneNames)
                                        .ifPresent(
                                                id -> targets.add(target(id, zone, share, local))));
    }

    private static Target target(ZoneId id, Zone zone, int share, LocalRoute local) {
        long salt = zone.name().hashCode() * ZONE_SALT;
        return new Target(id, salt, share, local.unreachable().contains(zone));
    }

    private static Optional<ZoneId> id(Zone zone, List<String> zoneNames) {
        int index = zoneNames.indexOf(zone.name());
        return index < 0 ? Optional.empty() : Optional.of(new ZoneId(index));
    }

    /**
     * The zones of which a proxy cannot reach any ready node. The unreachable nodes and zones are
     * those that the proxy announces to its fleet; zones are given by the hash of their name.
     */
    public static Set<Zone> unreachableZones(
            List<ListedNode> nodes, List<Long> unreachableNodes, List<Long> unreachableZones) {
        Set<Zone> unreachable = new HashSet<>();
        Set<Zone> reachable = new HashSet<>();
        for (ListedNode node : nodes) {
            if (node.ready()) {
                boolean nodeUnreachable =
                        unreachableNodes.contains(node.id())
                                || unreachableZones.contains(Fnv1a.hash(node.zone().name()));
                (nodeUnreachable ? unreachable : reachable).add(node.zone());
            }
        }
        unreachable.removeAll(reachable);
        return unreachable;
    }

    @Override
    public ZoneId zone(long point, Settings.Category category) {
        ZoneId zone = chooseZone(point, category);
        if (NOWHERE.equals(zone)) {
            counts.shed.increment();
        } else if (home.filter(zone::equals).isPresent()) {
            counts.local.increment();
        } else {
            counts.remote.increment();
        }
        return zone;
    }

    private ZoneId chooseZone(long point, Settings.Category category) {
        double shedShare = shedByCategory.getOrDefault(category, shed);
        if (shedShare > 0 && toUnitInterval(point ^ ZONE_SALT) < shedShare) {
            return NOWHERE;
        }
        // Guards against a client's retry in another zone, whose nodes have no deduplication record
        // of the first attempt.
        boolean boundToHome =
                category.effect() == Effect.DEDUPLICATED
                        && category.deduplicationScope() != DeduplicationScope.ALL_NODES;
        if (boundToHome) {
            return home.orElse(NOWHERE);
        }
        Optional<Target> best = bestTarget(point, false);
        if (best.isEmpty()) {
            return NOWHERE;
        }
        return best.get().unreachable() ? reroute(point) : best.get().zone();
    }

    /**
     * Handles a request for a zone that is unreachable from here while the plan still sends traffic
     * to it: a share goes to other targets, the rest is shed.
     */
    private ZoneId reroute(long point) {
        if (toUnitInterval(point ^ REROUTE_SALT) >= reroutedShare) {
            return NOWHERE;
        }
        return bestTarget(point, true).map(Target::zone).orElse(NOWHERE);
    }

    private Optional<Target> bestTarget(long point, boolean reachableOnly) {
        Target best = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (Target target : targets) {
            if (!reachableOnly || !target.unreachable()) {
                double score = Math.log(toUnitInterval(point ^ target.salt())) / target.weight();
                if (score > highest) {
                    highest = score;
                    best = target;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** Hashes a value to a number greater than 0 and less than 1. */
    private static double toUnitInterval(long value) {
        return (SplitMix64.mix(value) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
    }
}
