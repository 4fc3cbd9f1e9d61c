package cairnbridge.fleet.member;

/**
 * A member's progress in its recovery from a power loss, as it announces it.
 *
 * @param phase the ordinal of the phase from 1, or 0 if the member has nothing to recover from or
 *     has finished
 * @param originLimit how many requests to the origin this member allows in flight
 * @param epochFloor the highest epoch of a zone plan that, as far as the member knows, has been in
 *     force
 */
public record RecoveryProgress(int phase, int originLimit, long epochFloor) {
    /** A member that is not recovering from a power loss. */
    public static final RecoveryProgress NONE = new RecoveryProgress(0, 0, 0);
}
