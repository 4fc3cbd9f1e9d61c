package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import java.util.HashMap;
import java.util.Map;

/**
 * Latency estimates over all caches, from their load reports: the typical latency of a request, and
 * by machine kind the work of a request, which is its duration on an idle machine. Work is averaged
 * by kind, because a proxy sees few reports of a single node.
 */
final class FleetLatency {
    private static final double LATENCY_SAMPLES = 16;
    private static final int MIN_REPORTS = 3;
    private static final double MIN_SPEED = 0.25;

    private final RouterContext context;
    private final Map<MachineKind, MovingAverage> workByKind = new HashMap<>();
    private double typicalLatency;
    private long lastReportAt;

    FleetLatency(RouterContext context) {
        this.context = context;
    }

    double typicalLatency() {
        return typicalLatency;
    }

    long lastReportAt() {
        return lastReportAt;
    }

    void addReport(ServerNode node, Event.AttemptEnded ended) {
        double latency = context.loadReports.latency(ended.loadReport());
        double work = context.loadReports.work(ended.loadReport()) * node.size();
        long now = context.now();
        typicalLatency +=
                (latency - typicalLatency)
                        * MovingAverage.weightAfter(now - lastReportAt, LATENCY_SAMPLES);
        lastReportAt = now;
        if (work > 0) {
            workByKind.computeIfAbsent(node.machineKind(), kind -> new MovingAverage()).add(work);
        }
    }

    /**
     * Returns the work of a request on the fastest machine kind, 0 while no kind has enough
     * reports.
     */
    double leastWork() {
        return workByKind.values().stream()
                .filter(FleetLatency::hasEnoughReports)
                .mapToDouble(MovingAverage::value)
                .min()
                .orElse(0);
    }

    /**
     * Returns the speed of a machine kind relative to the fastest kind, 1 while the kind has too
     * few reports.
     */
    double speed(MachineKind kind, double leastWork) {
        MovingAverage work = workByKind.get(kind);
        return work == null || !hasEnoughReports(work)
                ? 1
                : Math.max(MIN_SPEED, leastWork / work.value());
    }

    private static boolean hasEnoughReports(MovingAverage work) {
        return work.samples() >= MIN_REPORTS;
    }
}
