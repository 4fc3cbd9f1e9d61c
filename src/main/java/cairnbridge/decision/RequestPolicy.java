package cairnbridge.decision;

import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;

/**
 * The settings of a category that routing decisions use, with a histogram of the category's cache
 * hit latencies.
 */
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
     * The duration above which a cache hit counts as late because it had to queue: a multiple of
     * the usual latency, bounded by shares of the latency objective.
     */
    long lateAfter() {
        long usual = LATE_MULTIPLE * hitLatency.floor();
        return Math.max(latencyObjective / 5, Math.min(latencyObjective * 3 / 5, usual));
    }
}
