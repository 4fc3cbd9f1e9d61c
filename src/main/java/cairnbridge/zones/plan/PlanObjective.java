package cairnbridge.zones.plan;

import cairnbridge.zones.plan.ZoneStatus.Condition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the target shares of each zone's traffic, without limits on how much moves at once.
 * Traffic is assigned in this order, as far as capacity allows: to its home zone, to its present
 * targets, to other zones of the region, to zones of other regions. Traffic that exceeds all
 * capacity is shed.
 */
final class PlanObjective {
    private final PlannerSettings settings;
    private final Map<Zone, TrafficShares> present;
    private final Map<Zone, ZoneStatus> zones;
    private final Map<Zone, Long> drained;
    private final Map<String, List<ZoneStatus>> regions = new HashMap<>();
    private final Map<Zone, TrafficShares> targets = new TreeMap<>();

    /**
     * The free capacity of a zone for traffic that is new there, and (in {@code freeForPresent})
     * for traffic that it serves already. Only zones that can take over traffic have an entry. Two
     * limits guard against shares that change with every fluctuation of demand while a zone is
     * full.
     */
    private final Map<Zone, Double> freeForNew = new HashMap<>();

    private final Map<Zone, Double> freeForPresent = new HashMap<>();

    private PlanObjective(
            PlannerSettings settings,
            Map<Zone, TrafficShares> present,
            Map<Zone, ZoneStatus> zones,
            Map<Zone, Long> drained) {
        this.settings = settings;
        this.present = present;
        this.zones = zones;
        this.drained = drained;
        for (ZoneStatus zone : zones.values()) {
            regions.computeIfAbsent(zone.region(), region -> new ArrayList<>()).add(zone);
        }
    }

    /** Whether a zone may serve the traffic of other zones. */
    static boolean canTakeOver(ZoneStatus zone, Map<Zone, Long> drained) {
        return zone.condition() == Condition.HEALTHY
                && zone.capacity() > 0
                && !drained.containsKey(zone.zone());
    }

    /**
     * Computes the target shares of each zone's traffic.
     *
     * @param present the present shares of each zone's traffic
     * @param drained the zones that operators have drained
     */
    static Map<Zone, TrafficShares> targetShares(
            PlannerSettings settings,
            Map<Zone, TrafficShares> present,
            Map<Zone, ZoneStatus> zones,
            Map<Zone, Long> drained) {
        PlanObjective objective = new PlanObjective(settings, present, zones, drained);
        zones.values().forEach(objective::assignHome);
        // Guards against traffic that moves between zones whenever capacities vary: present targets
        // are kept first.
        zones.values().forEach(objective::keepPresent);
        zones.values().forEach(objective::assignRest);
        return objective.targets;
    }

    private void assignHome(ZoneStatus zone) {
        TrafficShares target = homeShares(zone);
        targets.put(zone.zone(), target);
        if (canTakeOver(zone, drained)) {
            double own = target.shareOf(zone.zone()) * zone.demand();
            double usable = settings.targetUtilization() * zone.capacity();
            freeForNew.put(zone.zone(), Math.max(0, usable - own));
            freeForPresent.put(zone.zone(), Math.max(0, zone.capacity() - own));
        }
    }

    /** Returns the share of its own traffic that a zone should serve, with the reason. */
    private TrafficShares homeShares(ZoneStatus zone) {
        Zone home = zone.zone();
        double presentShare = present.get(home).shareOf(home);
        if (!zone.canServe()) {
            return new TrafficShares(RoutingReason.UNREACHABLE);
        }
        if (drained.containsKey(home)) {
            return new TrafficShares(RoutingReason.DRAINED);
        }
        if (zone.condition() == Condition.DEGRADED) {
            TrafficShares degraded = new TrafficShares(RoutingReason.DEGRADED);
            degraded.add(home, Math.min(settings.degradedShare(), presentShare));
            return degraded;
        }
        double maxShare = zone.shareOfDemand(settings.targetUtilization() * zone.capacity());
        // Guards against traffic that oscillates around the target utilization: it returns only
        // below a lower utilization.
        double returnShare = zone.shareOfDemand(settings.returnUtilization() * zone.capacity());
        double share = presentShare > maxShare ? maxShare : Math.max(presentShare, returnShare);
        TrafficShares healthy = new TrafficShares(healthyReason(share, presentShare));
        healthy.add(home, share);
        return healthy;
    }

    private static RoutingReason healthyReason(double share, double presentShare) {
        double fullShare = 1 - TrafficShares.EPSILON;
        if (share < fullShare) {
            return RoutingReason.FULL;
        }
        return presentShare < fullShare ? RoutingReason.RECOVERING : RoutingReason.HEALTHY;
    }

    /**
     * Keeps the present targets of a zone's traffic outside the zone, as far as they have capacity.
     */
    private void keepPresent(ZoneStatus zone) {
        TrafficShares before = present.get(zone.zone());
        if (before.targets().keySet().stream().allMatch(zone.zone()::equals)) {
            return;
        }
        double freeInRegion = freeInRegion(zone) * settings.returnUtilization();
        before.targets().forEach((target, share) -> keepPresent(zone, target, share, freeInRegion));
    }

    private double freeInRegion(ZoneStatus zone) {
        return regions.get(zone.region()).stream()
                .filter(other -> !other.zone().equals(zone.zone()))
                .mapToDouble(other -> freeForNew.getOrDefault(other.zone(), 0.0))
                .sum();
    }

    private void keepPresent(ZoneStatus zone, Zone target, double share, double freeInRegion) {
        if (target.equals(zone.zone()) || !freeForNew.containsKey(target)) {
            return;
        }
        boolean otherRegion = !zones.get(target).region().equals(zone.region());
        if (otherRegion && freeInRegion > share * zone.demand()) {
            return; // Other zones of the region have capacity to spare; assignRest uses it.
        }
        double fittingShare =
                zone.demand() <= 0 ? 1 : Math.max(0, freeForPresent.get(target) / zone.demand());
        TrafficShares shares = targets.get(zone.zone());
        double kept = Math.min(Math.min(share, fittingShare), shares.unassigned());
        shares.add(target, kept);
        freeForNew.merge(target, -kept * zone.demand(), Double::sum);
        freeForPresent.merge(target, -kept * zone.demand(), Double::sum);
    }

    /**
     * Assigns the rest of a zone's traffic: to its region, then to any zone, then to the zone
     * itself; sheds what is left.
     */
    private void assignRest(ZoneStatus zone) {
        TrafficShares shares = targets.get(zone.zone());
        double rest = assign(zone, shares.unassigned(), regions.get(zone.region()));
        rest = assign(zone, rest, List.copyOf(zones.values()));
        if (rest <= TrafficShares.EPSILON) {
            return;
        }
        double servedAtHome = shareServedAtHome(zone, shares, rest);
        shares.add(zone.zone(), servedAtHome);
        shares.addShed(rest - servedAtHome);
        if (rest - servedAtHome > TrafficShares.EPSILON) {
            shares.setReason(RoutingReason.PANIC);
        }
    }

    /**
     * Distributes a share over candidate zones in proportion to their free capacity; returns the
     * share that does not fit.
     */
    private double assign(ZoneStatus from, double share, List<ZoneStatus> candidates) {
        if (share <= TrafficShares.EPSILON) {
            return share;
        }
        List<Zone> others =
                candidates.stream()
                        .map(ZoneStatus::zone)
                        .filter(zone -> !zone.equals(from.zone()))
                        .filter(zone -> free(zone) > TrafficShares.EPSILON)
                        .toList();
        double capacity = others.stream().mapToDouble(this::free).sum();
        if (capacity <= TrafficShares.EPSILON) {
            return share;
        }
        double wanted = share * from.demand();
        double part = wanted <= capacity ? 1 : capacity / wanted;
        TrafficShares shares = targets.get(from.zone());
        for (Zone zone : others) {
            double proportion = free(zone) / capacity;
            shares.add(zone, share * part * proportion);
            double left = free(zone) - wanted * part * proportion;
            freeForNew.replace(zone, Math.max(0, left));
        }
        return share * (1 - part);
    }

    private double free(Zone zone) {
        return freeForNew.getOrDefault(zone, 0.0);
    }

    /**
     * Returns the part of the unassigned share that the zone itself serves up to its full capacity;
     * the rest is shed. This applies to degraded zones as well: if all zones look degraded, the
     * cause lies outside the zones, and shedding all traffic would not help.
     */
    private static double shareServedAtHome(ZoneStatus zone, TrafficShares shares, double rest) {
        if (!zone.canServe()) {
            return 0;
        }
        double fittingShare = zone.demand() <= 0 ? 1 : zone.capacity() / zone.demand();
        return Math.max(0, Math.min(rest, fittingShare - shares.shareOf(zone.zone())));
    }
}
