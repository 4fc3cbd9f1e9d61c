package cairnbridge.decision;

/**
 * An adaptive limit on requests in flight at all caches together, which is cut while the caches are
 * overloaded.
 */
final class InFlightLimit {
    private static final double INITIAL_LEVEL = 200;
    private static final double CUT_FACTOR = 0.9;
    private static final double USED_SHARE_FOR_RISE = 0.7;
    private static final double RISE_STEP = 0.1;
    private static final double RISE_SHARE = 0.05;

    /**
     * The latency ratio above which the caches count as overloaded, and the ratio at or below which
     * they count as recovered.
     */
    private final double overloadedAbove;

    private final double relievedBelow;

    /**
     * How much the thresholds rise as the limit gets smaller: they are multiplied by {@code 1 +
     * smallLimitTolerance / level}.
     */
    private final double smallLimitTolerance;

    private double level = INITIAL_LEVEL;
    private boolean isOverloaded;

    InFlightLimit(double overloadedAbove, double relievedBelow, double smallLimitTolerance) {
        this.overloadedAbove = overloadedAbove;
        this.relievedBelow = relievedBelow;
        this.smallLimitTolerance = smallLimitTolerance;
    }

    double level() {
        return level;
    }

    /**
     * Updates the limit from the ratio of the current latency to the usual latency. Guards against
     * caches that stay slow until their queues are drained: once they are overloaded, the limit is
     * cut until the ratio falls to the lower threshold.
     *
     * @param cachesPerProxy the number of caches divided by the number of proxies
     */
    void update(double latencyRatio, double minimum, int inFlight, double cachesPerProxy) {
        double threshold =
                (isOverloaded ? relievedBelow : overloadedAbove)
                        * (1 + smallLimitTolerance / level);
        isOverloaded = latencyRatio > threshold;
        if (isOverloaded) {
            level = Math.max(minimum, Math.min(level, inFlight + 1) * CUT_FACTOR);
        } else if (inFlight + 1 >= level * USED_SHARE_FOR_RISE) {
            level += RISE_STEP * Math.min(1, cachesPerProxy / 3) + level * RISE_SHARE;
        }
    }
}
