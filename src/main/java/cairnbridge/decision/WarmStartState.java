package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import java.util.Map;

/**
 * What a router has learnt that means the same to one that takes its place with other settings: how
 * far each node is to be trusted, how long the origin takes, and how many ops a second a warm cache
 * of size one was sent by this proxy, 0 where that is not told. Times are tenths of a millisecond;
 * at is when.
 */
public record WarmStartState(
        long recordedAt, double originLatency, double sendsPerSecond, Map<NodeId, Trust> nodes) {
    public static final WarmStartState EMPTY = new WarmStartState(0, 0, 0, Map.of());

    /**
     * The part of its offers that the node takes, 1 where all went well; started names its process.
     */
    public record Trust(long startedAt, double acceptedShare) {}
}
