package cairnbridge.decision;

import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;

/** What decisions use of a category, with the latencies of its cache hits. */
record RequestPolicy(
        Effect effect,
        DeduplicationScope deduplicationScope,
        long deduplicationWindow,
        long latencyObjective,
        double priorityWeight,
        boolean countsWhenLate,
        LatencyHistogram hitLatency,
        Settings.Category category) {
    private static final int LATE_MULTIPLE = 5;

    static RequestPolicy of(Settings.Category category) {
        return new RequestPolicy(
                category.effect(),
                category.deduplicationScope(),
                category.deduplicationWindow(),
                category.latencyObjective(),
                category.priorityWeight(),
                category.latePriorityWeight() > 0,
                new LatencyHistogram(),
                category);
    }

    /**
     * A hit that took longer than this waited behind others: some times the usual, within the
     * objective.
     */
    long lateAfter() {
        long usual = LATE_MULTIPLE * hitLatency.floor();
        return Math.max(latencyObjective / 5, Math.min(latencyObjective * 3 / 5, usual));
    }
}
