package cairnbridge.zones.plan;

/**
 * The capacity, demand and condition of one zone.
 *
 * @param zone the zone
 * @param region the region of the zone; empty if the fleet file assigns none
 * @param capacity requests a second that its ready and reachable nodes can serve now, by their
 *     listed size and slow-start progress
 * @param demand requests a second that the proxies in the zone receive
 * @param condition the condition that most members report
 */
public record ZoneStatus(
        Zone zone, String region, double capacity, double demand, Condition condition) {
    /** The condition of a zone's nodes. */
    public enum Condition {
        /** The nodes are reachable and few attempts fail or are late. */
        HEALTHY("well"),
        /** The nodes are reachable, but a large share of the attempts fails or is late. */
        DEGRADED("ill"),
        /** No node can be reached, or no node is ready. */
        UNREACHABLE("gone");

        private final String displayName;

        Condition(String displayName) {
            this.displayName = displayName;
        }

        /** The name in the answer of the admin call {@code zones}. */
        public String displayName() {
            return displayName;
        }
    }

    /** Whether the zone is reachable and has capacity. */
    boolean canServe() {
        return condition != Condition.UNREACHABLE && capacity > 0;
    }

    /**
     * The share of the zone's demand that a rate of requests covers, at most 1; 1 without demand.
     */
    double shareOfDemand(double requestsPerSecond) {
        return demand <= 0 ? 1 : Math.min(1, requestsPerSecond / demand);
    }
}
