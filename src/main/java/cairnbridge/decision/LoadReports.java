package cairnbridge.decision;

import java.util.List;

/**
 * Reads load reports by the meaning of their columns; a figure that is absent or cannot be is below
 * 0.
 */
final class LoadReports {
    private static final double UNKNOWN = -1,
            SECOND = 10_000,
            MILLI = 10,
            MOST_BUSY = 0.95,
            CROWDED = 0.5;
    private final int held, rate, latency, busy, width;

    LoadReports(List<String> columns) {
        held = columns.indexOf("inflight");
        rate = columns.indexOf("qps");
        latency = columns.indexOf("latency_ms");
        busy = columns.indexOf("util");
        width = columns.size();
    }

    /**
     * How long an op stays there just now: by Little's law, or as work shares a core that is so
     * busy.
     */
    double span(double[] row) {
        double ops = at(row, held),
                each = at(row, rate),
                took = at(row, latency),
                used = at(row, busy);
        if (ops >= 0 && each > 0) {
            return ops / each * SECOND;
        }
        return took < 0 ? UNKNOWN : took * MILLI / Math.max(CROWDED, 1 - Math.max(0, used));
    }

    /** How long an op would take on the idle node. */
    double work(double[] row) {
        double ops = at(row, held),
                each = at(row, rate),
                took = at(row, latency),
                used = at(row, busy);
        if (ops > 0 && each > 0) {
            return ops / (1 + ops) / each * SECOND;
        }
        return took <= 0 || used < 0 ? UNKNOWN : took * MILLI * (1 - Math.min(MOST_BUSY, used));
    }

    /** Guards against one bad figure: a row of another width is dropped, or the figure alone. */
    private double at(double[] row, int column) {
        boolean sound =
                row != null
                        && row.length == width
                        && column >= 0
                        && row[column] >= 0
                        && row[column] < Double.POSITIVE_INFINITY;
        return sound ? row[column] : UNKNOWN;
    }
}
