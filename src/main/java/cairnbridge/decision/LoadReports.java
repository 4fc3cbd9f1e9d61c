package cairnbridge.decision;

import cairnbridge.time.Ticks;
import java.util.List;

/**
 * Reads load reports by their configured column names. A value that is missing or invalid is
 * returned as a negative number.
 */
final class LoadReports {
    /** Stands for a value that no report contains. */
    static final double UNKNOWN = -1;

    private static final double MAX_UTILIZATION = 0.95;

    /** The lower bound on the idle share of a core in the latency estimate. */
    private static final double MIN_IDLE_SHARE = 0.5;

    private final int inFlightColumn;
    private final int rateColumn;
    private final int latencyColumn;
    private final int utilizationColumn;
    private final int width;

    LoadReports(List<String> columns) {
        inFlightColumn = columns.indexOf("inflight");
        rateColumn = columns.indexOf("qps");
        latencyColumn = columns.indexOf("latency_ms");
        utilizationColumn = columns.indexOf("util");
        width = columns.size();
    }

    /**
     * Returns the current time that a request spends at the node: by Little's law from requests in
     * flight and request rate, or else the reported latency divided by the idle share of the core.
     */
    double latency(double[] report) {
        double inFlight = value(report, inFlightColumn);
        double rate = value(report, rateColumn);
        if (inFlight >= 0 && rate > 0) {
            return inFlight / rate * Ticks.SECOND;
        }
        double latency = value(report, latencyColumn);
        double utilization = Math.max(0, value(report, utilizationColumn));
        return latency < 0
                ? UNKNOWN
                : latency * Ticks.MILLISECOND / Math.max(MIN_IDLE_SHARE, 1 - utilization);
    }

    /** Returns the time that a request would take on the node if it were idle. */
    double work(double[] report) {
        double inFlight = value(report, inFlightColumn);
        double rate = value(report, rateColumn);
        if (inFlight > 0 && rate > 0) {
            return inFlight / (1 + inFlight) / rate * Ticks.SECOND;
        }
        double latency = value(report, latencyColumn);
        double utilization = value(report, utilizationColumn);
        return latency <= 0 || utilization < 0
                ? UNKNOWN
                : latency * Ticks.MILLISECOND * (1 - Math.min(MAX_UTILIZATION, utilization));
    }

    /**
     * Guards against invalid reports: a report with an unexpected number of columns is ignored as a
     * whole, and an invalid value is ignored by itself.
     */
    private double value(double[] report, int column) {
        boolean isUsable =
                report != null
                        && report.length == width
                        && column >= 0
                        && report[column] >= 0
                        && report[column] < Double.POSITIVE_INFINITY;
        return isUsable ? report[column] : UNKNOWN;
    }
}
