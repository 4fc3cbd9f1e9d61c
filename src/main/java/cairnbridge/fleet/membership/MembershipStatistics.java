package cairnbridge.fleet.membership;

/**
 * The current state of a view, and event counts since the start of the process.
 *
 * @param members numbers of members by status
 * @param counters event counts
 * @param localHealthScore the score of the local health multiplier, from 0 (healthy) to 8
 * @param pendingUpdates number of member states that wait for dissemination
 * @param stableFor time since a member's status last changed, in ticks
 */
public record MembershipStatistics(
        Members members,
        Counters counters,
        int localHealthScore,
        int pendingUpdates,
        long stableFor) {
    /** The statistics before any event. */
    public static final MembershipStatistics EMPTY =
            new MembershipStatistics(
                    new Members(0, 0, 0, 0), new Counters(0, 0, 0, 0, 0, 0, 0, 0, 0, 0), 0, 0, 0);

    /** Numbers of members by status, this member included. */
    public record Members(int alive, int suspect, int dead, int left) {}

    /**
     * Event counts since the start of the process.
     *
     * @param suspicions members that became suspect
     * @param refutations statements about this member that it refuted
     * @param deaths members that were declared dead
     * @param returns dead members that were heard again in the same run
     * @param joins members that became known or restarted
     * @param leaves members that left
     * @param challenges reported deaths that were doubtful, so that the member was asked to refute
     *     them
     * @param stateExchanges comparisons of whole views that were started
     * @param discardedMessages messages and updates that were discarded
     * @param pauses detected pauses of this process
     */
    public record Counters(
            long suspicions,
            long refutations,
            long deaths,
            long returns,
            long joins,
            long leaves,
            long challenges,
            long stateExchanges,
            long discardedMessages,
            long pauses) {}
}
