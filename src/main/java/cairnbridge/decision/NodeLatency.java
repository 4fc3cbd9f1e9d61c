package cairnbridge.decision;

import cairnbridge.time.Ticks;

/** What a request lately took at one server, as its reports and ends tell. */
final class NodeLatency {
    /** After this time an estimate counts half. */
    private static final double HALF_LIFE = 3.0 * Ticks.SECOND;

    private static final double SAMPLES = 4;
    private static final double MIN_SPEED = 0.05;

    private double estimate;
    private long reportedAt;

    void add(double latency, long now) {
        double weight = reportedAt == 0 ? 1 : MovingAverage.weightAfter(now - reportedAt, SAMPLES);
        estimate += (latency - estimate) * weight;
        reportedAt = now;
    }

    /** 1 unless the server is slower than is typical, and than a quarter of the objective. */
    double relativeSpeed(long now, double typical, long objective) {
        if (reportedAt == 0) {
            return 1;
        }
        double belief = Math.pow(0.5, (now - reportedAt) / HALF_LIFE);
        double expected = typical + (estimate - typical) * belief;
        double fair = Math.max(typical, objective / 4.0);
        return expected <= fair ? 1 : Math.max(MIN_SPEED, fair / expected);
    }
}
