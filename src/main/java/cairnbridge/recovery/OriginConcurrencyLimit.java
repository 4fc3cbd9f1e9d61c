package cairnbridge.recovery;

import cairnbridge.time.Ticks;
import java.util.List;

/**
 * Limits the requests in flight to the origin during recovery. The limit begins low and grows
 * exponentially while the origin answers in time. When the origin fails, or a quarter of its recent
 * answers are late, the limit is halved and grows linearly from then on, like TCP's slow start and
 * additive increase (Jacobson 1988).
 *
 * <p>An answer is late if it took more than twice the best recent latency and also exceeds the
 * useful latency. One late answer alone does not lower the limit. A member's limit is also capped
 * at twice the lower median of the limits of the other recovering members, so that no member
 * recovers far ahead of the others; this cap rises with time.
 */
final class OriginConcurrencyLimit {
    private static final double LATE_FACTOR = 2;
    private static final double MAX_LIMIT = 4_096;
    private static final double MAX_LATE_SHARE = 0.25;
    private static final double LATE_SHARE_WEIGHT = 0.125;
    private static final long MIN_DECREASE_INTERVAL = Ticks.SECOND / 5;

    /**
     * The best latency is raised with its age, because the origin may have become slower since: by
     * half of its value in this time.
     */
    private static final long BEST_LATENCY_AGING_TIME = 5 * Ticks.SECOND;

    private static final double BEST_LATENCY_AGING_RATE = 0.5;
    private static final long DOUBLING_TIME = Ticks.SECOND;
    private static final int MAX_DOUBLINGS = 20;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final double initialLimit;
    private final long usefulLatency;
    private double ownLimit;
    private double peerLimit = Double.MAX_VALUE;

    /** The shortest recent latency; 0 before the first answer. */
    private double bestLatency;

    private long bestLatencyAt;
    private long decreasedAt = NEVER;
    private double lateShare;

    /** Whether the limit grows linearly, as it does after the first decrease. */
    private boolean additive;

    /**
     * Starts at an initial limit, but at least at one request.
     *
     * @param usefulLatency an answer within this time is never late
     */
    OriginConcurrencyLimit(double initialLimit, long usefulLatency) {
        this.initialLimit = Math.max(1, initialLimit);
        this.usefulLatency = usefulLatency;
        ownLimit = this.initialLimit;
    }

    /** Adapts the limit to the result of an attempt at the origin. */
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
        double aging =
                1 + BEST_LATENCY_AGING_RATE * (now - bestLatencyAt) / BEST_LATENCY_AGING_TIME;
        if (bestLatency == 0 || latency < bestLatency * aging) {
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
     * Caps the limit by those of other members.
     *
     * @param limits the limits that other recovering members announce; there is no cap if empty
     * @param readsSince how long this member has served reads; the cap is at least the initial
     *     limit, doubled once a second for this long. Guards against outdated limits holding back a
     *     large fleet, whose members announce new metrics only every minute
     */
    void peersChanged(List<Integer> limits, long readsSince) {
        if (limits.isEmpty()) {
            peerLimit = Double.MAX_VALUE;
            return;
        }
        List<Integer> sorted = limits.stream().sorted().toList();
        double lowerMedian = sorted.get((sorted.size() - 1) / 2);
        double doublings = Math.min(MAX_DOUBLINGS, (double) readsSince / DOUBLING_TIME);
        double minPeerLimit = initialLimit * Math.pow(2, doublings);
        peerLimit = Math.max(1, Math.max(2 * lowerMedian, minPeerLimit));
    }

    /** How many requests may be in flight to the origin. */
    int limit() {
        return (int) Math.min(ownLimit, peerLimit);
    }

    /** The limit without the cap by other members, which this member announces to them. */
    int ownLimit() {
        return (int) ownLimit;
    }

    /** The shortest recent latency of the origin; 0 before the first answer. */
    long bestLatency() {
        return (long) bestLatency;
    }
}
