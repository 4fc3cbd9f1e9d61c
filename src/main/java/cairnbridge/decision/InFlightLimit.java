package cairnbridge.decision;

/** A limit of requests in flight at all caches, cut while they are overloaded. */
final class InFlightLimit {
    private static final double INITIAL_LEVEL = 200;
    private static final double CUT_FACTOR = 0.9;
    private static final double USED_SHARE = 0.7;
    private static final double RISE_STEP = 0.1;
    private static final double RISE_SHARE = 0.05;

    /** The latency ratio from which on the caches count as overloaded, and until which. */
    private final double overloadedAbove;

    private final double relievedBelow;

    /** How much more a small limit tolerates. */
    private final double easing;

    private double level = INITIAL_LEVEL;
    private boolean isOverloaded;

    InFlightLimit(double overloadedAbove, double relievedBelow, double easing) {
        this.overloadedAbove = overloadedAbove;
        this.relievedBelow = relievedBelow;
        this.easing = easing;
    }

    double level() {
        return level;
    }

    /**
     * Follows how many times their usual latency requests take. Guards against caches that stay
     * slow until they are drained: once overloaded, the limit is cut until they are well.
     *
     * @param cachesPerProxy how many caches there are for each proxy
     */
    void update(double latencyRatio, double minimum, int inFlight, double cachesPerProxy) {
        double mark = (isOverloaded ? relievedBelow : overloadedAbove) * (1 + easing / level);
        isOverloaded = latencyRatio > mark;
        if (isOverloaded) {
            level = Math.max(minimum, Math.min(level, inFlight + 1) * CUT_FACTOR);
        } else if (inFlight + 1 >= level * USED_SHARE) {
            level += RISE_STEP * Math.min(1, cachesPerProxy / 3) + level * RISE_SHARE;
        }
    }
}
