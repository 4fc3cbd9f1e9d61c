package cairnbridge.zones.plan;

/**
 * What the proposer knows of one zone.
 *
 * @param region where it lies
 * @param room ops a second that its ready nodes bear now, by their stated size and their warmth
 * @param demand ops a second that come to its proxies
 * @param condition what most members find
 */
public record ZoneInput(Zone zone, String region, double room, double demand, Condition condition) {
    /**
     * GONE: no node of it can be reached; ILL: reached, but a good part of what it does is late or
     * fails.
     */
    public enum Condition {
        WELL,
        ILL,
        GONE
    }
}
