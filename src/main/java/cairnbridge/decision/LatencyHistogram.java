package cairnbridge.decision;

/**
 * A coarse histogram of latencies: bins grow by the square root of two; halved when it has seen
 * enough.
 */
final class LatencyHistogram {
    private static final int BINS = 40;
    private static final int MAX_SAMPLES = 400;
    private static final int MIN_SAMPLES = 8;
    private static final int FLOOR_INTERVAL = 32;
    private static final double FLOOR_RISE = 1.02;

    /** So high that some times as much is still a number of ticks. */
    private static final long UNKNOWN_FLOOR = Long.MAX_VALUE / 8;

    private final int[] bins = new int[BINS];
    private int total;
    private double floor = Double.MAX_VALUE;

    void add(long latency) {
        double positive = (double) Math.max(1, latency);
        long bin = Math.round(2 * Math.log(positive) / Math.log(2));
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

    /** The lowest median seen; it creeps up, so that a lasting change is believed in the end. */
    long floor() {
        return floor >= Long.MAX_VALUE ? UNKNOWN_FLOOR : (long) floor;
    }

    /**
     * The latency that a share of the samples does not exceed, or a default while there are few.
     */
    long quantile(double share, long defaultLatency) {
        if (total < MIN_SAMPLES) {
            return defaultLatency;
        }
        double left = share * total;
        for (int i = 0; i < BINS; i++) {
            left -= bins[i];
            if (left < 0) {
                return Math.round(Math.pow(2, i / 2.0));
            }
        }
        return defaultLatency;
    }
}
