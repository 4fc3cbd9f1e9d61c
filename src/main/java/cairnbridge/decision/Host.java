package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;

/**
 * The operations that a router calls on the proxy it runs in. All durations are ticks. Calls take
 * effect in the order in which they are made, at the time of the event being handled.
 */
public interface Host {
    /**
     * Sends an attempt. The attempts of a request are numbered 0, 1, 2 ... in the order of these
     * calls.
     *
     * @param latestStart a clock time: the request's last byte is sent before it, or the attempt is
     *     not sent
     */
    void sendAttempt(RequestId request, NodeId node, long timeout, long latestStart);

    /** Cancels an open attempt. */
    void cancelAttempt(RequestId request, int attempt);

    /**
     * Sends the final answer: the request is rejected and a repeat is harmless. A retry-after of 0
     * contains no advice.
     */
    void rejectRetryable(RequestId request, long retryAfter);

    /** Sends the final answer: the request has failed, and it may have had effects. */
    void failPermanently(RequestId request);

    /** Starts a timer. Its expiry is reported as {@link Event.TimerFired}. */
    void startTimer(long delay, TimerId timer);

    /**
     * Starts a health check of a node. Its result is reported as {@link Event.HealthCheckEnded}.
     */
    void checkHealth(NodeId node);

    /** Sends a message to one peer, or to all peers if {@code peer} is null. */
    void sendToPeer(PeerId peer, byte[] body);

    /** Subscribes to the endpoint list and its changes, or ends the subscription. */
    void subscribeToEndpoints(boolean on);

    /** Requests the full endpoint list from discovery once. */
    void fetchEndpointList();

    /**
     * Reports how many listed nodes are in maintenance or receive few requests because they are
     * unhealthy.
     */
    void avoidedNodeCountChanged(int count);

    /** Writes a line to the log. */
    void log(String line);
}
