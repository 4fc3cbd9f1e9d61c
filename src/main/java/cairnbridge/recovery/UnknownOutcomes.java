package cairnbridge.recovery;

import cairnbridge.decision.Settings.Category;

/**
 * Recognizes retries whose first attempt may have run before the power loss: requests that must not
 * take effect twice and that were first sent, going by their deadline, before this proxy took
 * requests.
 */
final class UnknownOutcomes {
    private final long startedAt;
    private long newestNodeStart;

    /**
     * Begins with this run of the process.
     *
     * @param startedAt when this proxy could take its first request
     */
    UnknownOutcomes(long startedAt) {
        this.startedAt = startedAt;
    }

    /**
     * Sets when the last of the cache nodes started: their deduplication marks from before that may
     * be lost.
     */
    void setNewestNodeStart(long at) {
        newestNodeStart = at;
    }

    /** Whether the first attempt of a request may have run. */
    boolean isOutcomeUnknown(Category category, boolean repeat, long expires) {
        long firstSentAt = expires - category.ttl();
        if (!repeat || firstSentAt >= startedAt) {
            return false;
        }
        return switch (category.effect()) {
            case AT_MOST_ONCE -> true;
            case DEDUPLICATED -> newestNodeStart >= firstSentAt;
            case IDEMPOTENT -> false;
        };
    }
}
