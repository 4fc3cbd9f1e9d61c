package cairnbridge.decision;

/**
 * An adaptive limit of requests in flight: rises while it is used, falls while many of them end
 * late. Below one it is a chance.
 */
final class ConcurrencyLimit {
    private static final double INITIAL_LEVEL = 16;
    private static final double LATE_SHARE = 0.25;
    private static final double SAMPLES = 16;
    private static final double CUT_FACTOR = 0.9;
    private static final long CUT_INTERVAL = RouterContext.HOUSEKEEPING_INTERVAL;

    /** The most cuts that one late end stands for, where few ends come and where fewer do. */
    private static final double MAX_CUTS = 6;

    private static final double MAX_CUTS_BELOW_ONE = 24;
    private static final double RECOVERY_SHARE = 0.08;
    private static final int MAX_LATE_RUN = 2;

    private final RouterContext context;
    private double level = INITIAL_LEVEL;

    /** The smoothed share of late ends. */
    private double lateShare;

    private long cutAt;
    private long lastEndAt;
    private int lateRun;

    ConcurrencyLimit(RouterContext context) {
        this.context = context;
    }

    double level() {
        return level;
    }

    long lastEndAt() {
        return lastEndAt;
    }

    /** The lowest level; shared out by the number of proxies. */
    double minimum() {
        return Math.min(2, 6 / context.proxyCount());
    }

    /** One late end proves nothing where work is uneven, so a smoothed share of them decides. */
    void ended(boolean isLate, int inFlight) {
        long now = context.now();
        long gap = now - lastEndAt;
        lastEndAt = now;
        lateShare += ((isLate ? 1 : 0) - lateShare) * MovingAverage.weightAfter(gap, SAMPLES);
        lateRun = isLate ? Math.min(lateRun + 1, MAX_LATE_RUN) : 0;
        if (level < 1 && !isLate) {
            // So few ends come here that each in time must tell.
            level = Math.min(1, level * 2 + 0.1);
        } else if (lateShare < LATE_SHARE && !isLate && inFlight + 2 > level) {
            level += Math.min(1 / level, 0.1 + level / 2);
        } else if (lateShare >= LATE_SHARE && isLate && now - cutAt >= CUT_INTERVAL) {
            cut(gap, inFlight);
        }
    }

    /** Guards against many proxies that each see a fetch now and then: each must cut further. */
    private void cut(long gap, int inFlight) {
        double most = minimum() < 1 ? MAX_CUTS_BELOW_ONE : MAX_CUTS;
        long intervals = gap / CUT_INTERVAL;
        double cuts = Math.max(1, Math.min(most, (double) intervals));
        cutAt = context.now();
        level = Math.max(minimum(), Math.min(level, inFlight + 1) * Math.pow(CUT_FACTOR, cuts));
    }

    /** Whether a request of some relative priority may queue; below a level of one by chance. */
    boolean admits(double relativePriority) {
        return level >= 1 || context.random.nextDouble() < Math.pow(level, 1 / relativePriority);
    }

    /**
     * Rises by itself below one, as few ends would show it. Guards against an origin that answers
     * nobody: late ends in a row slow the rise.
     */
    void housekeeping() {
        level += level < 1 ? level * RECOVERY_SHARE / (1 << lateRun) : 0;
    }
}
