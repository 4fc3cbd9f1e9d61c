package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * A moving average: the plain mean of the first {@code MAX_SAMPLES} samples, after which each new
 * sample has a fixed weight.
 */
final class MovingAverage {
    private static final int MAX_SAMPLES = 64;
    private static final double MAX_WEIGHT = 0.5;

    private double value;
    private int samples;

    void add(double sample) {
        samples = Math.min(MAX_SAMPLES, samples + 1);
        value += (sample - value) / samples;
    }

    double value() {
        return value;
    }

    int samples() {
        return samples;
    }

    /**
     * Returns the weight of a new sample in an average over about {@code samples} samples. A longer
     * gap since the previous sample gives it more weight.
     */
    static double weightAfter(long gap, double samples) {
        return Math.min(MAX_WEIGHT, Math.max(1 / samples, (double) gap / Ticks.SECOND));
    }
}
