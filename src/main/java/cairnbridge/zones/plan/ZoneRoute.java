package cairnbridge.zones.plan;

import java.util.Map;
import java.util.TreeMap;

/**
 * The distribution of one zone's traffic over zones, in thousandths that add up to {@link #TOTAL}.
 *
 * @param targets the share that each target zone serves; all shares are positive
 * @param shed the share that is shed
 * @param reason the reason for this distribution
 */
public record ZoneRoute(Map<Zone, Integer> targets, int shed, RoutingReason reason) {
    /** The sum of all shares including the shed one, in thousandths. */
    public static final int TOTAL = 1000;

    /** Copies the targets and checks that the shares are positive and complete. */
    public ZoneRoute {
        targets = Map.copyOf(targets);
        int sum = shed;
        for (int share : targets.values()) {
            if (share <= 0) {
                throw new IllegalArgumentException("share must be positive: " + share);
            }
            sum += share;
        }
        if (shed < 0 || sum != TOTAL) {
            throw new IllegalArgumentException(
                    "the shares do not add up to the whole traffic: " + sum);
        }
    }

    /** The route of a zone that serves all of its own traffic. */
    public static ZoneRoute atHome(Zone zone) {
        return new ZoneRoute(Map.of(zone, TOTAL), 0, RoutingReason.HEALTHY);
    }

    /** The share that a zone serves, in thousandths; 0 if it is no target. */
    public int shareOf(Zone zone) {
        return targets.getOrDefault(zone, 0);
    }

    /** The targets sorted by zone name, so that the order is the same at every proxy. */
    public Map<Zone, Integer> targetsInOrder() {
        return new TreeMap<>(targets);
    }

    /** Whether both routes have the same targets and shares, regardless of the reason. */
    public boolean hasSameSharesAs(ZoneRoute other) {
        return shed == other.shed && targets.equals(other.targets);
    }
}
