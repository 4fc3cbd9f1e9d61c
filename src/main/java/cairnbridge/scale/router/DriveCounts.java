package cairnbridge.scale.router;

import java.util.EnumMap;
import java.util.Map;

/** What a drive counted. Counts hang on the seed alone, not on the machine. */
final class DriveCounts {
    /** The calls that a router makes on its host. */
    enum HostCall {
        PUSH,
        CANCEL,
        REFUSAL,
        TIMER,
        PROBE,
        AVOIDS,
        OTHER
    }

    private final Map<HostCall, Long> calls = new EnumMap<>(HostCall.class);
    long requests;

    /**
     * Requests whose first push went to the home of their key, the first node of the ring's walk.
     */
    long atHome;

    /** Requests placed elsewhere while the home had enough in flight for its bound to act. */
    long movedFromBusyHome;

    /** Requests placed elsewhere though the home had less in flight than any bound. */
    long movedFromFreeHome;

    /** Requests that came while the home had enough in flight for its bound to act. */
    long homeBusy;

    /** Requests in flight, summed over the ticks of the clock. */
    double inFlightTicks;

    /** Ticks of the clock from the first arrival to the last. */
    long ticks;

    void count(HostCall call) {
        calls.merge(call, 1L, Long::sum);
    }

    long calls(HostCall call) {
        return calls.getOrDefault(call, 0L);
    }

    long calls() {
        return calls.values().stream().mapToLong(Long::longValue).sum();
    }

    double perRequest(double total) {
        return total / Math.max(1, requests);
    }

    /** The mean over the time of the arrivals. */
    double inFlightPerNode(int nodes) {
        return inFlightTicks / Math.max(1, ticks) / nodes;
    }
}
