package cairnbridge.fleet.member;

/**
 * The recent outcomes of one member's attempts at the nodes of one zone.
 *
 * @param zoneHash the hash of the zone's name
 * @param attempts the number of attempts that ended
 * @param failures the number of those that failed or were late
 */
public record ZoneOutcome(long zoneHash, long attempts, long failures) {}
