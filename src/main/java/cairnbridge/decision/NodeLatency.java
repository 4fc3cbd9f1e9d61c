package cairnbridge.decision;

import cairnbridge.time.Ticks;

/** The recent latency of requests at one server, from its load reports and attempt durations. */
final class NodeLatency {
    /** The age at which the estimate's difference from the typical latency counts half. */
    private static final double HALF_LIFE = 3.0 * Ticks.SECOND;

    private static final double LATENCY_SAMPLES = 4;
    private static final double MIN_SPEED = 0.05;

    private double estimate;
    private long lastSampleAt;

    void add(double latency, long now) {
        double weight =
                lastSampleAt == 0
                        ? 1
                        : MovingAverage.weightAfter(now - lastSampleAt, LATENCY_SAMPLES);
        estimate += (latency - estimate) * weight;
        lastSampleAt = now;
    }

    /**
     * Returns 1 unless the expected latency exceeds both the typical latency and a quarter of the
     * latency objective; otherwise the ratio of the larger of these to the expected latency.
     */
    double relativeSpeed(long now, double typicalLatency, long objective) {
        if (lastSampleAt == 0) {
            return 1;
        }
        double confidence = StrictMath.pow(0.5, (now - lastSampleAt) / HALF_LIFE);
        double expected = typicalLatency + (estimate - typicalLatency) * confidence;
        double acceptable = Math.max(typicalLatency, objective / 4.0);
        return expected <= acceptable ? 1 : Math.max(MIN_SPEED, acceptable / expected);
    }
}
