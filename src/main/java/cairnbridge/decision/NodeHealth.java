package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.time.Ticks;

/** The health of one server, estimated from the outcomes of this proxy's attempts there. */
final class NodeHealth {
    private static final double MIN_SHARE = 0.05;
    private static final double FAILURE_FACTOR = 0.85;
    private static final double SUCCESS_FACTOR = 1.03;
    private static final double RECOVERY_FACTOR = 1.005;
    private static final double RECOVERY_STEP = 0.001;

    /** The largest number of outcomes that a single outcome counts for after a long gap. */
    private static final double MAX_OUTCOME_WEIGHT = 12;

    private static final double OUTCOME_WEIGHT_PER_SECOND = 4.0;

    /**
     * How long an orphaned attempt stays in the load count; doubled with each consecutive failure.
     */
    private static final long ORPHAN_TIME = RouterContext.HOUSEKEEPING_INTERVAL / 2;

    private static final int MAX_DOUBLINGS = 6;

    private final RouterContext context;
    private final ServerNode node;

    /**
     * The share of the offered requests that the node accepts. It falls with each late or failed
     * attempt.
     */
    private double acceptedShare = 1;

    private int consecutiveFailures;
    private int orphanedAttempts;
    private long lastUpdateAt;

    NodeHealth(RouterContext context, ServerNode node) {
        this.context = context;
        this.node = node;
    }

    double acceptedShare() {
        return acceptedShare;
    }

    /** The number of failed attempts that the server may still be working on. */
    int orphanedAttempts() {
        return orphanedAttempts;
    }

    /** Restores a share recorded by another router; a lower weight moves it closer to 1. */
    void restore(double share, double weight) {
        acceptedShare = Math.max(MIN_SHARE, 1 - (1 - share) * weight);
    }

    void reset() {
        consecutiveFailures = 0;
        orphanedAttempts = 0;
        acceptedShare = 1;
    }

    void recover() {
        acceptedShare = Math.min(1, acceptedShare * RECOVERY_FACTOR + RECOVERY_STEP);
    }

    void suspected() {
        acceptedShare =
                Math.max(
                        MIN_SHARE,
                        acceptedShare * StrictMath.pow(FAILURE_FACTOR, MAX_OUTCOME_WEIGHT));
    }

    void attemptEnded(RequestPolicy policy, Event.AttemptEnded ended) {
        if (ended.outcome() != AttemptOutcome.NOT_SENT) {
            updateShare(policy, ended);
        }
        switch (ended.outcome()) {
            case SUCCESS, CACHE_MISS -> consecutiveFailures = 0;
            case NOT_SENT, CANCELLED -> {
                // These outcomes contain no information about the server's health.
            }
            default -> addOrphan();
        }
    }

    private void updateShare(RequestPolicy policy, Event.AttemptEnded ended) {
        boolean isLateOrFailed =
                ended.duration() > policy.lateAfter() || isFailure(ended.outcome());
        // Guards against slow detection in a large fleet, where each proxy sees few attempts per
        // node: after a longer gap, one outcome counts for several that other proxies are likely to
        // have seen.
        double ticksSinceUpdate = context.now() - lastUpdateAt;
        double outcomeWeight =
                Math.max(
                        1,
                        Math.min(
                                MAX_OUTCOME_WEIGHT,
                                ticksSinceUpdate * OUTCOME_WEIGHT_PER_SECOND / Ticks.SECOND));
        lastUpdateAt = context.now();
        double factor =
                StrictMath.pow(isLateOrFailed ? FAILURE_FACTOR : SUCCESS_FACTOR, outcomeWeight);
        acceptedShare = Math.max(MIN_SHARE, Math.min(1, acceptedShare * factor));
        if (acceptedShare < 1) {
            node.enterTransition();
        }
    }

    private static boolean isFailure(AttemptOutcome outcome) {
        return switch (outcome) {
            case SUCCESS, CACHE_MISS, CANCELLED -> false;
            default -> true;
        };
    }

    /**
     * Guards against a cache that fails fast: its in-flight count would stay near zero and attract
     * requests. Failed attempts stay in the load count for a time that grows with consecutive
     * failures.
     */
    private void addOrphan() {
        consecutiveFailures++;
        orphanedAttempts++;
        long time = ORPHAN_TIME << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        context.loop.schedule(time, this::removeOrphan);
    }

    private void removeOrphan() {
        orphanedAttempts = Math.max(0, orphanedAttempts - 1);
    }
}
