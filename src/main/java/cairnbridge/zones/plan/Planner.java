package cairnbridge.zones.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Derives the next plan from the present one and the status of each zone. The only state is the
 * time of the last step and the times at which traffic was last moved away from each zone. A new
 * proposer has neither, so it starts with a hold-down for every zone.
 *
 * <p>Two decisions are separate: the target shares without limits on movement ({@link
 * PlanObjective}), and the part of the difference that one step moves. Neither sends a zone more
 * than its capacity, including the time in which members still use different plans ({@link
 * PlanTransition}).
 */
public final class Planner {
    /** The smallest change that leads to a new plan, in thousandths of a zone's traffic. */
    private static final int MIN_CHANGE = 10;

    /**
     * A zone counts as overloaded if the traffic of other zones exceeds its free capacity by this
     * factor plus {@code OVERLOAD_SLACK} requests a second.
     */
    private static final double OVERLOAD_FACTOR = 1.05;

    private static final double OVERLOAD_SLACK = 1;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final PlannerSettings settings;
    private final Map<Zone, Long> movedAwayAt = new HashMap<>();
    private final long startedAt;
    private long steppedAt = NEVER;

    /** Creates a planner; the hold-down of every zone starts now. */
    public Planner(PlannerSettings settings, long now) {
        this.settings = settings;
        startedAt = now;
    }

    /** Whether the step interval since the last agreed plan is over. */
    public boolean isDue(long now) {
        return now - steppedAt >= settings.stepInterval();
    }

    /**
     * Returns the next plan, with the next epoch, or the present plan if nothing changes.
     *
     * @param drained the zones that operators have drained, with the earliest time at which each
     *     may be restored
     */
    public Plan next(
            Plan present,
            List<ZoneStatus> statuses,
            Map<Zone, Long> drained,
            String proposer,
            long now) {
        Map<Zone, ZoneStatus> zones = new TreeMap<>();
        statuses.forEach(status -> zones.put(status.zone(), status));
        restartHoldDown(zones, drained, now);
        Map<Zone, TrafficShares> presentShares = new TreeMap<>();
        zones.keySet()
                .forEach(zone -> presentShares.put(zone, TrafficShares.of(present.routeOf(zone))));
        Map<Zone, TrafficShares> from = new TreeMap<>();
        presentShares.forEach((zone, shares) -> from.put(zone, shedUnreachable(shares, zones)));
        shedOverload(from, zones);
        Map<Zone, TrafficShares> steps = steps(from, zones, drained, now);
        PlanTransition.limitToCapacity(presentShares, zones, steps);
        Plan next = new Plan(present.epoch() + 1, routes(present, steps), drained, proposer);
        return next.hasSameRoutesAs(present) ? present : next;
    }

    /**
     * Restarts the hold-down of each zone that is not healthy or is drained: traffic returns only
     * to a zone that was healthy during the whole hold-down.
     */
    private void restartHoldDown(Map<Zone, ZoneStatus> zones, Map<Zone, Long> drained, long now) {
        for (ZoneStatus zone : zones.values()) {
            if (!PlanObjective.canTakeOver(zone, drained)) {
                movedAwayAt.put(zone.zone(), now);
            }
        }
    }

    private Map<Zone, TrafficShares> steps(
            Map<Zone, TrafficShares> from,
            Map<Zone, ZoneStatus> zones,
            Map<Zone, Long> drained,
            long now) {
        Map<Zone, TrafficShares> targets =
                PlanObjective.targetShares(settings, from, zones, drained);
        Map<Zone, TrafficShares> steps = new TreeMap<>();
        double movableRate = settings.maxMovedPerSecond();
        for (ZoneStatus zone : zones.values()) {
            TrafficShares before = from.get(zone.zone());
            TrafficShares step = step(zone, before, targets.get(zone.zone()), movableRate, now);
            movableRate = Math.max(0, movableRate - before.movedTo(step) * zone.demand());
            steps.put(zone.zone(), step);
        }
        return steps;
    }

    private static Map<Zone, ZoneRoute> routes(Plan present, Map<Zone, TrafficShares> steps) {
        Map<Zone, ZoneRoute> routes = new HashMap<>();
        steps.forEach(
                (zone, shares) -> {
                    ZoneRoute before = present.routeOf(zone);
                    ZoneRoute next = shares.toRoute(zone);
                    ZoneRoute route = isSignificantChange(before, next) ? next : before;
                    if (!route.hasSameSharesAs(ZoneRoute.atHome(zone))) {
                        routes.put(zone, route);
                    }
                });
        return routes;
    }

    /**
     * Handles an agreed plan: starts the interval to the next step and the hold-down of each zone
     * that loses traffic.
     */
    public void planAgreed(Plan before, Plan plan, long now) {
        steppedAt = now;
        for (Zone zone : plan.routes().keySet()) {
            if (plan.routeOf(zone).shareOf(zone) < before.routeOf(zone).shareOf(zone)) {
                movedAwayAt.put(zone, now);
            }
        }
    }

    /**
     * Whether a route changes enough for a new plan. Guards against a new plan for every
     * fluctuation of demand.
     */
    private static boolean isSignificantChange(ZoneRoute before, ZoneRoute next) {
        int moved = Math.abs(next.shed() - before.shed());
        for (Zone zone : next.targets().keySet()) {
            moved += Math.abs(next.shareOf(zone) - before.shareOf(zone));
        }
        for (Zone zone : before.targets().keySet()) {
            moved += next.shareOf(zone) == 0 ? before.shareOf(zone) : 0;
        }
        boolean endsShedding = next.shed() == 0 && before.shed() > 0;
        boolean otherZones = !next.targets().keySet().equals(before.targets().keySet());
        return moved >= 2 * MIN_CHANGE || ((endsShedding || otherZones) && moved > 0);
    }

    /**
     * Returns the present shares, with the shares of zones that cannot serve shed until they are
     * moved to other zones.
     */
    private static TrafficShares shedUnreachable(
            TrafficShares present, Map<Zone, ZoneStatus> zones) {
        TrafficShares shares = present.copy();
        for (Zone target : present.targets().keySet()) {
            ZoneStatus status = zones.get(target);
            if (status == null || !status.canServe()) {
                shares.shedShareOf(target);
                shares.setReason(RoutingReason.UNREACHABLE);
            }
        }
        return shares;
    }

    /**
     * Sheds the traffic of other zones that exceeds the capacity of a zone, for example after its
     * capacity has shrunk, until it is moved to other zones.
     */
    private static void shedOverload(Map<Zone, TrafficShares> from, Map<Zone, ZoneStatus> zones) {
        Map<Zone, Double> incoming = new HashMap<>();
        from.forEach(
                (zone, shares) ->
                        shares.targets()
                                .forEach(
                                        (target, share) -> {
                                            double rate = share * zones.get(zone).demand();
                                            if (!target.equals(zone)) {
                                                incoming.merge(target, rate, Double::sum);
                                            }
                                        }));
        incoming.forEach((target, rate) -> shedOverload(from, zones.get(target), rate));
    }

    private static void shedOverload(
            Map<Zone, TrafficShares> from, ZoneStatus target, double incomingRate) {
        Zone to = target.zone();
        double own = from.get(to).shareOf(to) * target.demand();
        double fits = Math.max(0, target.capacity() - own);
        if (incomingRate <= fits * OVERLOAD_FACTOR + OVERLOAD_SLACK) {
            return;
        }
        from.forEach(
                (zone, shares) -> {
                    if (!zone.equals(to) && shares.shareOf(to) > 0) {
                        double excess = shares.shareOf(to) * (1 - fits / incomingRate);
                        shares.add(to, -excess);
                        shares.addShed(excess);
                    }
                });
    }

    /** Moves a zone's traffic by one step from its present shares towards the target. */
    private TrafficShares step(
            ZoneStatus zone,
            TrafficShares from,
            TrafficShares target,
            double movableRate,
            long now) {
        Zone home = zone.zone();
        boolean returnsHome = target.shareOf(home) > from.shareOf(home) + TrafficShares.EPSILON;
        long movedAwaySince = movedAwayAt.getOrDefault(home, startedAt);
        boolean heldDown = returnsHome && now - movedAwaySince < settings.holdDown();
        TrafficShares wanted = heldDown ? withPresentHomeShare(from, target, home) : target;
        double moved = from.movedTo(wanted);
        boolean sameShed = Math.abs(from.shed() - wanted.shed()) <= TrafficShares.EPSILON;
        if (moved <= TrafficShares.EPSILON && sameShed) {
            TrafficShares same = from.copy();
            same.setReason(heldDown ? from.reason() : target.reason());
            return same;
        }
        double maxMoved = maxStep(target, returnsHome && !heldDown);
        if (zone.demand() > 0) {
            maxMoved = Math.min(maxMoved, movableRate / zone.demand());
        }
        double part = moved <= maxMoved ? 1 : maxMoved / moved;
        return interpolate(from, wanted, part, target.reason());
    }

    /**
     * Returns the share that one step may move. Guards against requests that are shed for seconds
     * while other zones could serve them: the traffic of an unreachable zone moves in one step,
     * limited only by the rate that the origin can serve.
     */
    private double maxStep(TrafficShares target, boolean returnsHome) {
        if (target.reason() == RoutingReason.UNREACHABLE) {
            return 1;
        }
        return returnsHome ? settings.maxShareBack() : settings.maxShareAway();
    }

    /** Interpolates linearly between two distributions of shares. */
    private static TrafficShares interpolate(
            TrafficShares from, TrafficShares to, double part, RoutingReason reason) {
        TrafficShares result = new TrafficShares(reason);
        result.addShed(from.shed() + part * (to.shed() - from.shed()));
        from.targets().forEach((zone, share) -> result.add(zone, share * (1 - part)));
        to.targets().forEach((zone, share) -> result.add(zone, share * part));
        return result;
    }

    /**
     * Returns the target shares with the home share replaced by the present one, and the other
     * shares scaled to fill the rest.
     */
    private static TrafficShares withPresentHomeShare(
            TrafficShares present, TrafficShares target, Zone home) {
        TrafficShares result = new TrafficShares(target.reason());
        double others =
                target.shed()
                        + target.targets().entrySet().stream()
                                .filter(share -> !share.getKey().equals(home))
                                .mapToDouble(Map.Entry::getValue)
                                .sum();
        double rest = 1 - present.shareOf(home);
        double scale = others <= TrafficShares.EPSILON ? 0 : Math.min(1, rest / others);
        result.add(home, present.shareOf(home));
        target.targets()
                .forEach(
                        (zone, share) -> {
                            if (!zone.equals(home)) {
                                result.add(zone, share * scale);
                            }
                        });
        result.addShed(target.shed() * scale);
        // A share that the target assigns to no other zone keeps its present targets, in their
        // present proportion.
        double left = result.unassigned();
        double presentOthers = Math.max(TrafficShares.EPSILON, rest);
        present.targets()
                .forEach(
                        (zone, share) -> {
                            if (!zone.equals(home)) {
                                result.add(zone, left * share / presentOthers);
                            }
                        });
        result.addShed(left * present.shed() / presentOthers);
        return result;
    }
}
