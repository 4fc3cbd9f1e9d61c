package cairnbridge.decision;

/** A mean that follows its samples: all alike at first, the later ones more once there are many. */
final class MovingAverage {
    private static final int MANY = 64;
    double value;
    int seen;

    void add(double sample) {
        seen = Math.min(MANY, seen + 1);
        value += (sample - value) / seen;
    }
}
