package cairnbridge.decision;

import cairnbridge.time.Ticks;

/** An average that follows its samples: all alike at first, later ones more once there are many. */
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
     * The weight of a new sample in an average over so many: the more, the longer ago the sample
     * before it.
     */
    static double weightAfter(long gap, double samples) {
        return Math.min(MAX_WEIGHT, Math.max(1 / samples, (double) gap / Ticks.SECOND));
    }
}
