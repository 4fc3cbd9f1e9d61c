package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.time.Ticks;

/** How far one server is trusted, by the ends of this proxy's attempts there. */
final class NodeHealth {
    private static final double MIN_SHARE = 0.05;
    private static final double FAILURE_FACTOR = 0.85;
    private static final double SUCCESS_FACTOR = 1.03;
    private static final double RECOVERY_FACTOR = 1.005;
    private static final double RECOVERY_STEP = 0.001;

    /** An end at a node seen seldom stands for at most so many. */
    private static final double MAX_ENDS = 12;

    private static final double ENDS_PER_SECOND = 4.0;

    /** An orphaned attempt keeps its place for this long, doubled with each failure in a row. */
    private static final long ORPHAN_TIME = RouterContext.HOUSEKEEPING_INTERVAL / 2;

    private static final int MAX_DOUBLINGS = 6;

    private final RouterContext context;
    private final ServerNode node;

    /** The part of what it is offered that the node accepts; falls while its ends are late. */
    private double acceptedShare = 1;

    private int consecutiveFailures;
    private int orphanedAttempts;
    private long judgedAt;

    NodeHealth(RouterContext context, ServerNode node) {
        this.context = context;
        this.node = node;
    }

    double acceptedShare() {
        return acceptedShare;
    }

    /** Failed attempts that the server may still be working on. */
    int orphanedAttempts() {
        return orphanedAttempts;
    }

    /** Takes a share that another router had learnt, as far as that still counts. */
    void trust(double share, double weight) {
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
        acceptedShare = Math.max(MIN_SHARE, acceptedShare * Math.pow(FAILURE_FACTOR, MAX_ENDS));
    }

    void attemptEnded(RequestPolicy policy, Event.AttemptEnded ended) {
        if (ended.outcome() != AttemptOutcome.NOT_SENT) {
            updateShare(policy, ended);
        }
        switch (ended.outcome()) {
            case SUCCESS, CACHE_MISS -> consecutiveFailures = 0;
            case NOT_SENT, CANCELLED -> {
                // Says nothing of the server.
            }
            default -> orphan();
        }
    }

    private void updateShare(RequestPolicy policy, Event.AttemptEnded ended) {
        boolean isLate = ended.duration() > policy.lateAfter() || isFailure(ended.outcome());
        // Guards against many proxies that each see few ends here: one stands for what others saw.
        double gap = context.now() - judgedAt;
        double ends = Math.max(1, Math.min(MAX_ENDS, gap * ENDS_PER_SECOND / Ticks.SECOND));
        judgedAt = context.now();
        double factor = Math.pow(isLate ? FAILURE_FACTOR : SUCCESS_FACTOR, ends);
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
     * Guards against a cache that fails fast, its count near none: failed attempts keep their place
     * in the count for a growing time.
     */
    private void orphan() {
        consecutiveFailures++;
        orphanedAttempts++;
        long time = ORPHAN_TIME << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        context.loop.schedule(time, this::forgetOrphan);
    }

    private void forgetOrphan() {
        orphanedAttempts = Math.max(0, orphanedAttempts - 1);
    }
}
