package cairnbridge.decision;

import cairnbridge.time.Ticks;
import java.util.List;

/**
 * Reads load reports by the meaning of their columns; a figure that is absent or cannot be is below
 * 0.
 */
final class LoadReports {
    private static final double UNKNOWN = -1;
    private static final double MAX_UTILIZATION = 0.95;

    /** The least share of a core that a request gets, however busy that is. */
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
     * How long a request stays there just now: by Little's law, or as work shares a core that is so
     * busy.
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

    /** How long a request would take on the idle node. */
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

    /** Guards against one bad figure: a row of another width is dropped, or the figure alone. */
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
