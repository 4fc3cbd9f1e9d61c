package cairnbridge.recovery;

import cairnbridge.time.Ticks;
import java.util.List;

/**
 * How many requests to the origin may be in flight: few at first, growing exponentially while the
 * origin answers in time, and halved when it fails or a quarter of its answers is late, as TCP's
 * slow start and additive increase (Jacobson 1988).
 *
 * <p>An answer is late if it took twice as long as the best one and is of no use to the client with
 * the shortest objective; one such answer alone proves nothing. A member that is far ahead of the
 * others waits for them: it allows at most twice the lower median of all recovering members.
 */
final class OriginConcurrencyLimit {
    private static final double LATE_FACTOR = 2;
    private static final double MAX_LIMIT = 4_096;
    private static final double MAX_LATE_SHARE = 0.25;
    private static final double LATE_SHARE_WEIGHT = 0.125;
    private static final long MIN_DECREASE_INTERVAL = Ticks.SECOND / 5;

    /** A best latency of long ago proves little: it grows by half in this time. */
    private static final long BEST_LATENCY_AGING_TIME = 5 * Ticks.SECOND;

    private static final double BEST_LATENCY_AGING_RATE = 0.5;
    private static final long DOUBLING_TIME = Ticks.SECOND;
    private static final int MAX_DOUBLINGS = 20;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final double initialLimit;
    private final long usefulLatency;
    private double ownLimit;
    private double peerLimit = Double.MAX_VALUE;

    /** The shortest latency; 0 before the first answer. */
    private double bestLatency;

    private long bestLatencyAt;
    private long decreasedAt = NEVER;
    private double lateShare;

    /** Whether the limit was cut, after which it grows linearly. */
    private boolean additive;

    /**
     * A ramp from an initial limit.
     *
     * @param usefulLatency an answer within this time is never late
     */
    OriginConcurrencyLimit(double initialLimit, long usefulLatency) {
        this.initialLimit = Math.max(1, initialLimit);
        this.usefulLatency = usefulLatency;
        ownLimit = this.initialLimit;
    }

    /** An attempt at the origin has ended. */
    void attemptEnded(boolean succeeded, long latency, long now) {
        if (!succeeded) {
            decrease(now);
            return;
        }
        updateBestLatency(latency, now);
        boolean late = latency > Math.max((double) usefulLatency, LATE_FACTOR * bestLatency);
        lateShare += ((late ? 1 : 0) - lateShare) * LATE_SHARE_WEIGHT;
        if (late && lateShare >= MAX_LATE_SHARE) {
            decrease(now);
        } else {
            increase();
        }
    }

    private void updateBestLatency(long latency, long now) {
        double fade = 1 + BEST_LATENCY_AGING_RATE * (now - bestLatencyAt) / BEST_LATENCY_AGING_TIME;
        if (bestLatency == 0 || latency < bestLatency * fade) {
            bestLatency = Math.max(1, latency);
            bestLatencyAt = now;
        }
    }

    private void increase() {
        ownLimit = Math.min(MAX_LIMIT, ownLimit + (additive ? 1 / ownLimit : 1));
    }

    private void decrease(long now) {
        if (now - decreasedAt > MIN_DECREASE_INTERVAL) {
            decreasedAt = now;
            additive = true;
            ownLimit = Math.max(1, ownLimit / 2);
        }
    }

    /**
     * Follows the other members.
     *
     * @param limits the limits that other recovering members announce
     * @param readsSince for how long reads have been served. Guards against a large fleet whose
     *     members announce new metrics only every minute: all limits double with time
     */
    void peersChanged(List<Integer> limits, long readsSince) {
        if (limits.isEmpty()) {
            peerLimit = Double.MAX_VALUE;
            return;
        }
        List<Integer> sorted = limits.stream().sorted().toList();
        double lowerMedian = sorted.get((sorted.size() - 1) / 2);
        double doublings = Math.min(MAX_DOUBLINGS, (double) readsSince / DOUBLING_TIME);
        double byTime = initialLimit * Math.pow(2, doublings);
        peerLimit = Math.max(1, Math.max(2 * lowerMedian, byTime));
    }

    /** How many requests may be in flight. */
    int limit() {
        return (int) Math.min(ownLimit, peerLimit);
    }

    /** What this member has found by itself, to be announced. */
    int ownLimit() {
        return (int) ownLimit;
    }

    /** How long the origin takes; 0 while that is not known. */
    long bestLatency() {
        return (long) bestLatency;
    }
}
