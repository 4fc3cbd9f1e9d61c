package cairnbridge.decision;

/**
 * A coarse histogram of latencies. Bin boundaries grow by a factor of the square root of two, and
 * all counts are halved once {@code MAX_SAMPLES} have been added.
 */
final class LatencyHistogram {
    private static final int BINS = 40;
    private static final int MAX_SAMPLES = 400;
    private static final int MIN_SAMPLES = 8;
    private static final int FLOOR_INTERVAL = 32;
    private static final double FLOOR_RISE = 1.02;

    /** The floor while it is unknown, small enough to be multiplied by 8 without overflow. */
    private static final long UNKNOWN_FLOOR = Long.MAX_VALUE / 8;

    private final int[] bins = new int[BINS];
    private int total;
    private double floor = Double.MAX_VALUE;

    void add(long latency) {
        double positive = (double) Math.max(1, latency);
        long bin = Math.round(2 * StrictMath.log(positive) / StrictMath.log(2));
        bins[(int) Math.min(BINS - 1, bin)]++;
        total++;
        if (total % FLOOR_INTERVAL == 0 || total == MIN_SAMPLES || total == 2 * MIN_SAMPLES) {
            double median = (double) quantile(0.5, Long.MAX_VALUE);
            floor = Math.min(floor * FLOOR_RISE, median);
        }
        if (total >= MAX_SAMPLES) {
            halve();
        }
    }

    private void halve() {
        total = 0;
        for (int i = 0; i < BINS; i++) {
            bins[i] /= 2;
            total += bins[i];
        }
    }

    /**
     * The lowest median seen. It rises slowly at each update, so that it follows a lasting increase
     * in latency.
     */
    long floor() {
        return floor >= Long.MAX_VALUE ? UNKNOWN_FLOOR : (long) floor;
    }

    /**
     * Returns the latency that a share of the samples does not exceed, or the default while there
     * are too few samples.
     */
    long quantile(double share, long defaultLatency) {
        if (total < MIN_SAMPLES) {
            return defaultLatency;
        }
        double remaining = share * total;
        for (int i = 0; i < BINS; i++) {
            remaining -= bins[i];
            if (remaining < 0) {
                return Math.round(StrictMath.pow(2, i / 2.0));
            }
        }
        return defaultLatency;
    }
}
