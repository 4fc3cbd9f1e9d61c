package cairnbridge.fleet.membership;

/** Counts the events that {@link MembershipStatistics.Counters} describes. */
final class MembershipCounters {
    long suspicions;
    long refutations;
    long deaths;
    long returns;
    long joins;
    long leaves;
    long challenges;
    long stateExchanges;
    long discardedMessages;
    long pauses;

    MembershipStatistics.Counters snapshot() {
        return new MembershipStatistics.Counters(
                suspicions,
                refutations,
                deaths,
                returns,
                joins,
                leaves,
                challenges,
                stateExchanges,
                discardedMessages,
                pauses);
    }
}
