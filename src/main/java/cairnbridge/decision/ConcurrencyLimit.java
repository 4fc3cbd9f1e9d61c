package cairnbridge.decision;

/**
 * An adaptive limit on requests in flight. It rises while it is fully used and falls while a large
 * share of attempts end late. A level below 1 is the probability of admitting a request.
 */
final class ConcurrencyLimit {
    private static final double INITIAL_LEVEL = 16;
    private static final double LATE_SHARE_FOR_CUT = 0.25;
    private static final double LATE_SHARE_SAMPLES = 16;
    private static final double CUT_FACTOR = 0.9;
    private static final long CUT_INTERVAL = RouterContext.HOUSEKEEPING_INTERVAL;

    /**
     * The largest number of cuts applied for one late attempt after a long gap between attempts.
     * The second value applies while the minimum level is below 1.
     */
    private static final double MAX_CUTS = 6;

    private static final double MAX_CUTS_BELOW_ONE = 24;
    private static final double RECOVERY_RATE = 0.08;
    private static final int MAX_CONSECUTIVE_LATE = 2;

    private final RouterContext context;
    private double level = INITIAL_LEVEL;

    /** The smoothed share of attempts that ended late. */
    private double lateShare;

    private long lastCutAt;
    private long lastAttemptEndAt;
    private int consecutiveLate;

    ConcurrencyLimit(RouterContext context) {
        this.context = context;
    }

    double level() {
        return level;
    }

    long lastAttemptEndAt() {
        return lastAttemptEndAt;
    }

    /**
     * The level below which no cut goes: this proxy's equal share of 6 requests at the origin that
     * all proxies share, but at most 2.
     */
    double minimum() {
        return Math.min(2, 6 / context.proxyCount());
    }

    /**
     * Adjusts the level after an attempt has ended. A single late attempt is no evidence of
     * overload where request costs vary, so the smoothed share of late attempts decides.
     */
    void attemptEnded(boolean isLate, int inFlight) {
        long now = context.now();
        long gap = now - lastAttemptEndAt;
        lastAttemptEndAt = now;
        lateShare +=
                ((isLate ? 1 : 0) - lateShare) * MovingAverage.weightAfter(gap, LATE_SHARE_SAMPLES);
        consecutiveLate = isLate ? Math.min(consecutiveLate + 1, MAX_CONSECUTIVE_LATE) : 0;
        if (level < 1 && !isLate) {
            // Below a level of 1, attempts are so rare that each timely one raises the level.
            level = Math.min(1, level * 2 + 0.1);
        } else if (lateShare < LATE_SHARE_FOR_CUT && !isLate && inFlight + 2 > level) {
            level += Math.min(1 / level, 0.1 + level / 2);
        } else if (lateShare >= LATE_SHARE_FOR_CUT && isLate && now - lastCutAt >= CUT_INTERVAL) {
            cut(gap, inFlight);
        }
    }

    /**
     * Guards against an overload that persists because each of many proxies fetches rarely and cuts
     * too little: the longer the gap since the previous attempt, the further the level is cut.
     */
    private void cut(long gap, int inFlight) {
        double most = minimum() < 1 ? MAX_CUTS_BELOW_ONE : MAX_CUTS;
        long intervals = gap / CUT_INTERVAL;
        double cuts = Math.max(1, Math.min(most, (double) intervals));
        lastCutAt = context.now();
        level =
                Math.max(
                        minimum(),
                        Math.min(level, inFlight + 1) * StrictMath.pow(CUT_FACTOR, cuts));
    }

    /**
     * Whether a request of this relative priority may queue. Below a level of 1 this is random,
     * with a lower probability for lower priorities.
     */
    boolean admits(double relativePriority) {
        return level >= 1
                || context.random.nextDouble() < StrictMath.pow(level, 1 / relativePriority);
    }

    /**
     * Raises a level below 1 over time, as attempts are too rare to raise it. Guards against
     * sustained load on an origin that answers nothing: consecutive late attempts slow the rise.
     */
    void housekeeping() {
        level += level < 1 ? level * RECOVERY_RATE / (1 << consecutiveLate) : 0;
    }
}
