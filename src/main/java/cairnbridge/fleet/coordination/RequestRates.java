package cairnbridge.fleet.coordination;

import cairnbridge.time.Ticks;
import java.util.concurrent.atomic.AtomicLongArray;

/** Accepted requests per second by category, smoothed. Thread-safe. */
final class RequestRates {
    /** Minimum time between two updates of the rates. */
    private static final double MIN_UPDATE_SECONDS = 0.5;

    private static final double SMOOTHING_SECONDS = 2;

    private final AtomicLongArray accepted;

    /** The values of {@link #accepted} at the last update; guarded by this object's lock. */
    private final long[] acceptedBefore;

    /** Guarded by this object's lock. */
    private final double[] perSecond;

    /** Guarded by this object's lock. */
    private long updatedAt;

    RequestRates(int categories, long now) {
        accepted = new AtomicLongArray(categories);
        acceptedBefore = new long[categories];
        perSecond = new double[categories];
        updatedAt = now;
    }

    void requestAccepted(int category) {
        accepted.incrementAndGet(category);
    }

    /** The rate of all categories together, updated if an update is due. */
    synchronized long total(long now) {
        double seconds = (double) (now - updatedAt) / Ticks.SECOND;
        if (seconds >= MIN_UPDATE_SECONDS) {
            update(seconds);
            updatedAt = now;
        }
        double sum = 0;
        for (double rate : perSecond) {
            sum += rate;
        }
        return Math.round(sum);
    }

    private void update(double seconds) {
        for (int i = 0; i < perSecond.length; i++) {
            long count = accepted.get(i);
            double latest = (count - acceptedBefore[i]) / seconds;
            acceptedBefore[i] = count;
            perSecond[i] += (latest - perSecond[i]) * Math.min(1, seconds / SMOOTHING_SECONDS);
        }
    }

    /** The rates as of the last update. */
    synchronized double[] byCategory() {
        return perSecond.clone();
    }
}
