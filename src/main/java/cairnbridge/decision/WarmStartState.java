package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import java.util.Map;

/**
 * The estimates of a router that stay valid for a successor with other settings. Times and
 * durations are ticks.
 *
 * @param recordedAt the clock time at which the state was recorded
 * @param originLatency the typical duration of a fetch from the origin
 * @param sendsPerSecond the number of requests per second that this proxy sent to a warm cache of
 *     nominal size, 0 if unknown
 * @param nodes the health of each server
 */
public record WarmStartState(
        long recordedAt,
        double originLatency,
        double sendsPerSecond,
        Map<NodeId, SavedHealth> nodes) {
    /** The empty state, for a router without a predecessor. */
    public static final WarmStartState EMPTY = new WarmStartState(0, 0, 0, Map.of());

    /**
     * The recorded health of one server.
     *
     * @param startedAt the start time of the server's process, which identifies it
     * @param acceptedShare the share of the offered requests that the server accepts, 1 for a
     *     healthy server
     */
    public record SavedHealth(long startedAt, double acceptedShare) {}
}
