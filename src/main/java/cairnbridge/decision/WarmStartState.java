package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import java.util.Map;

/**
 * What a router has learnt that means the same to one that takes its place with other settings.
 * Times and durations are ticks.
 *
 * @param recordedAt when it held
 * @param originLatency how long a fetch from the origin takes
 * @param sendsPerSecond how many requests a second a warm cache of nominal size was sent by this
 *     proxy, 0 where that is not told
 * @param nodes how far each server is trusted
 */
public record WarmStartState(
        long recordedAt, double originLatency, double sendsPerSecond, Map<NodeId, Trust> nodes) {
    /** Nothing is known. */
    public static final WarmStartState EMPTY = new WarmStartState(0, 0, 0, Map.of());

    /**
     * How far one server is trusted.
     *
     * @param startedAt names its process
     * @param acceptedShare the part of what it is offered that it accepts, 1 where all went well
     */
    public record Trust(long startedAt, double acceptedShare) {}
}
