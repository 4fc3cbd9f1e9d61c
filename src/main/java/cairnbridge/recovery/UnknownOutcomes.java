package cairnbridge.recovery;

import cairnbridge.decision.Settings.Category;

/**
 * Detects retries whose first attempt may have run before the power loss. These are requests that
 * must not take effect twice and that, judging by their deadline, the client first sent before this
 * proxy could accept requests.
 */
final class UnknownOutcomes {
    private final long startedAt;
    private long newestNodeStart;

    /**
     * Creates a detector for this run of the process.
     *
     * @param startedAt when this proxy could accept its first request
     */
    UnknownOutcomes(long startedAt) {
        this.startedAt = startedAt;
    }

    /**
     * Sets the latest start of a cache node: the nodes may have lost the idempotency keys that they
     * had recorded before it.
     */
    void setNewestNodeStart(long at) {
        newestNodeStart = at;
    }

    /** Whether a request is a retry whose first attempt may have run. */
    boolean isOutcomeUnknown(Category category, boolean isRetry, long deadline) {
        long firstSentAt = deadline - category.ttl();
        if (!isRetry || firstSentAt >= startedAt) {
            return false;
        }
        return switch (category.effect()) {
            case AT_MOST_ONCE -> true;
            case DEDUPLICATED -> newestNodeStart >= firstSentAt;
            case IDEMPOTENT -> false;
        };
    }
}
