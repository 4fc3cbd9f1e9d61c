package cairnbridge.zones.plan;

import java.util.Map;
import java.util.TreeMap;

/**
 * The routes of all zones' traffic. Immutable; a zone without a route serves its own traffic.
 *
 * @param epoch the version of the plan, one more than that of the plan it was derived from
 * @param routes the routes of the zones that do not serve all of their own traffic
 * @param drained the zones that operators have drained, with the earliest time at which each may be
 *     restored, Unix time in milliseconds
 * @param proposer the member that proposed it
 */
public record Plan(
        long epoch, Map<Zone, ZoneRoute> routes, Map<Zone, Long> drained, String proposer) {
    /** The initial plan: every zone serves its own traffic. */
    public static final Plan EMPTY = new Plan(0, Map.of(), Map.of(), "");

    /** Copies the maps. */
    public Plan {
        routes = Map.copyOf(routes);
        drained = Map.copyOf(drained);
    }

    /**
     * This plan if its epoch is at least the floor, otherwise a copy with the epoch after the
     * floor.
     */
    public Plan withEpochAbove(long floor) {
        return epoch >= floor ? this : new Plan(floor + 1, routes, drained, proposer);
    }

    /**
     * The route of a zone's traffic; the zone itself is the only target if the plan has no route.
     */
    public ZoneRoute routeOf(Zone zone) {
        ZoneRoute route = routes.get(zone);
        return route == null ? ZoneRoute.atHome(zone) : route;
    }

    /** The routes sorted by zone name. */
    public Map<Zone, ZoneRoute> routesInOrder() {
        return new TreeMap<>(routes);
    }

    /**
     * Whether both plans have the same shares for each zone and the same drained zones, regardless
     * of epoch, proposer and reasons.
     */
    public boolean hasSameRoutesAs(Plan other) {
        if (!drained.equals(other.drained) || !routes.keySet().equals(other.routes.keySet())) {
            return false;
        }
        return routes.entrySet().stream()
                .allMatch(
                        route ->
                                route.getValue().hasSameSharesAs(other.routes.get(route.getKey())));
    }
}
