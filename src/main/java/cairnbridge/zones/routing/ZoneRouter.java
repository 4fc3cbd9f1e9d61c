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
 * Applies one zone's route. A key's zone is chosen by weighted rendezvous hashing (Schindelhauer
 * and Schomaker 2005): when shares change only those keys move that have to, and the same ones at
 * every proxy.
 */
public final class ZoneRouter implements Placement {
    /** Counts what was routed since the start, over all routes. Any thread may read. */
    public static final class Counts {
        /** Requests that stayed in their zone, left it, and were shed. */
        public final LongAdder local = new LongAdder();

        public final LongAdder remote = new LongAdder();
        public final LongAdder shed = new LongAdder();
    }

    /**
     * A zone's route as one proxy applies it.
     *
     * @param home the zone
     * @param route its route
     * @param unreachable zones that this proxy cannot reach
     * @param reroutedShare of the requests for such a zone, the share that goes elsewhere
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

    /** The home zone's id; empty if the endpoint list does not have the zone. */
    private final Optional<ZoneId> home;

    private final List<Target> targets = new ArrayList<>();
    private final double shed;
    private final double reroutedShare;
    private final Map<Settings.Category, Double> shedByCategory;
    private final Counts counts;

    /**
     * A router for a route.
     *
     * @param zoneNames the names of the zones, in the order of their numbers in the endpoint list
     * @param categories the classes of requests
     * @param rates requests that came lately, by category
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

    /** The zones none of whose ready nodes a proxy reaches, by what it announces to its fleet. */
    public static Set<Zone> unreachableZones(
            List<ListedNode> nodes, List<Long> unreachableNodes, List<Long> unreachableZones) {
        Set<Zone> unreachable = new HashSet<>();
        Set<Zone> reachable = new HashSet<>();
        for (ListedNode node : nodes) {
            if (node.ready()) {
                boolean missed =
                        unreachableNodes.contains(node.id())
                                || unreachableZones.contains(Fnv1a.hash(node.zone().name()));
                (missed ? unreachable : reachable).add(node.zone());
            }
        }
        unreachable.removeAll(reachable);
        return unreachable;
    }

    @Override
    public ZoneId zone(long point, Settings.Category category) {
        ZoneId zone = choose(point, category);
        if (NOWHERE.equals(zone)) {
            counts.shed.increment();
        } else if (home.filter(zone::equals).isPresent()) {
            counts.local.increment();
        } else {
            counts.remote.increment();
        }
        return zone;
    }

    private ZoneId choose(long point, Settings.Category category) {
        double shedShare = shedByCategory.getOrDefault(category, shed);
        if (shedShare > 0 && unit(point ^ ZONE_SALT) < shedShare) {
            return NOWHERE;
        }
        // Guards against a client's retry that goes where nobody has the mark of the first attempt.
        boolean boundToHome =
                category.effect() == Effect.DEDUPLICATED
                        && category.deduplicationScope() != DeduplicationScope.ALL_NODES;
        if (boundToHome) {
            return home.orElse(NOWHERE);
        }
        Optional<Target> best = best(point, false);
        if (best.isEmpty()) {
            return NOWHERE;
        }
        return best.get().unreachable() ? reroute(point) : best.get().zone();
    }

    /** The plan has not followed yet: a share goes elsewhere, the rest is shed. */
    private ZoneId reroute(long point) {
        if (unit(point ^ REROUTE_SALT) >= reroutedShare) {
            return NOWHERE;
        }
        return best(point, true).map(Target::zone).orElse(NOWHERE);
    }

    private Optional<Target> best(long point, boolean reachableOnly) {
        Target best = null;
        double highest = Double.NEGATIVE_INFINITY;
        for (Target target : targets) {
            if (!reachableOnly || !target.unreachable()) {
                double score = Math.log(unit(point ^ target.salt())) / target.weight();
                if (score > highest) {
                    highest = score;
                    best = target;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /** A hash as a number over 0 and under 1. */
    private static double unit(long value) {
        return (SplitMix64.mix(value) >>> 11) * 0x1.0p-53 + 0x1.0p-54;
    }
}
