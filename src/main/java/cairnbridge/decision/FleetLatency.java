package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import java.util.HashMap;
import java.util.Map;

/**
 * What load reports say of all caches together: the typical latency, and the work of a request on
 * each kind of machine. Kept by kind, as a proxy sees one node seldom.
 */
final class FleetLatency {
    private static final double SAMPLES = 16;
    private static final int MIN_REPORTS = 3;
    private static final double MIN_SPEED = 0.25;

    private final RouterContext context;
    private final Map<MachineKind, MovingAverage> workByKind = new HashMap<>();
    private double typical;
    private long reportedAt;

    FleetLatency(RouterContext context) {
        this.context = context;
    }

    double typical() {
        return typical;
    }

    long reportedAt() {
        return reportedAt;
    }

    void reported(ServerNode node, Event.AttemptEnded ended) {
        double latency = context.loadReports.latency(ended.loadReport());
        double work = context.loadReports.work(ended.loadReport()) * node.size();
        long now = context.now();
        typical += (latency - typical) * MovingAverage.weightAfter(now - reportedAt, SAMPLES);
        reportedAt = now;
        if (work > 0) {
            workByKind.computeIfAbsent(node.machineKind(), kind -> new MovingAverage()).add(work);
        }
    }

    /** The work of a request on the fastest kind of machine, 0 while none is known. */
    double leastWork() {
        return workByKind.values().stream()
                .filter(FleetLatency::isKnown)
                .mapToDouble(MovingAverage::value)
                .min()
                .orElse(0);
    }

    /** The speed of a kind of machine as a part of the fastest kind's; 1 while it is not known. */
    double speed(MachineKind kind, double leastWork) {
        MovingAverage work = workByKind.get(kind);
        return work == null || !isKnown(work) ? 1 : Math.max(MIN_SPEED, leastWork / work.value());
    }

    private static boolean isKnown(MovingAverage work) {
        return work.samples() >= MIN_REPORTS;
    }
}
