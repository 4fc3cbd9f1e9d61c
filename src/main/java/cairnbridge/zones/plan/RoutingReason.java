package cairnbridge.zones.plan;

/** The reason for a zone's route. The ordinals are part of the wire and file formats. */
public enum RoutingReason {
    /** The zone serves its own traffic. */
    HEALTHY("well"),
    /** No node of the zone can be reached. */
    UNREACHABLE("gone"),
    /** A large share of the attempts in the zone fails or is late. */
    DEGRADED("ill"),
    /** The zone's traffic exceeds its capacity. */
    FULL("full"),
    /** An operator has drained the zone. */
    DRAINED("drained"),
    /** The zone's traffic returns to it in steps. */
    RECOVERING("back"),
    /** The zones have too little capacity together; a part of the traffic is shed. */
    PANIC("panic");

    private final String displayName;

    RoutingReason(String displayName) {
        this.displayName = displayName;
    }

    /** The name in log lines and in the answer of the admin call {@code zones}. */
    public String displayName() {
        return displayName;
    }
}
