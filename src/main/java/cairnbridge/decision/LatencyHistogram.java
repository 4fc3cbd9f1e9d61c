package cairnbridge.decision;

/**
 * A coarse histogram of spans: bins grow by the square root of two; halved when it has seen enough.
 */
final class LatencyHistogram {
    private static final int BINS = 40;
    private static final int ENOUGH = 400;
    private final int[] bins = new int[BINS];
    private int total;
    private double floor = Double.MAX_VALUE;

    void add(long span) {
        int bin =
                (int) Math.min(BINS - 1, Math.round(2 * Math.log(Math.max(1, span)) / Math.log(2)));
        bins[bin]++;
        if (++total % 32 == 0 || total == 8 || total == 16) {
            floor = Math.min(floor * 1.02, quantile(0.5, Long.MAX_VALUE));
        }
        if (total >= ENOUGH) {
            total = 0;
            for (int i = 0; i < BINS; i++) {
                bins[i] /= 2;
                total += bins[i];
            }
        }
    }

    /** The lowest median seen; it creeps up, so that a lasting change is believed in the end. */
    long floor() {
        return floor >= Long.MAX_VALUE ? Long.MAX_VALUE / 8 : (long) floor;
    }

    long quantile(double share, long absent) {
        if (total < 8) {
            return absent;
        }
        double left = share * total;
        for (int i = 0; i < BINS; i++) {
            left -= bins[i];
            if (left < 0) {
                return Math.round(Math.pow(2, i / 2.0));
            }
        }
        return absent;
    }
}
