package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;

/**
 * What a router may ask of the proxy it lives in. All durations are ticks. Calls take effect in the
 * order they are made, at the time of the event being handled.
 */
public interface Host {
    /**
     * Starts an attempt; attempts of a request are numbered 0, 1, 2 ... in the order of these
     * calls.
     *
     * @param latestStart a time of the clock: the last byte leaves before it or not at all
     */
    void sendAttempt(RequestId request, NodeId node, long timeout, long latestStart);

    /** Cancels an attempt that is still open. */
    void cancelAttempt(RequestId request, int attempt);

    /** Final answer: rejected, a repeat is harmless; a retry-after of 0 gives no advice. */
    void rejectRetryable(RequestId request, long retryAfter);

    /** Final answer: failed, with no promise about effects. */
    void failPermanently(RequestId request);

    /** Starts a timer, which comes back as {@link Event.TimerFired}. */
    void startTimer(long delay, TimerId timer);

    /** Checks the health of a node, which comes back as {@link Event.HealthCheckEnded}. */
    void checkHealth(NodeId node);

    /** Sends a message to one peer, or to all of them when peer is null. */
    void sendToPeer(PeerId peer, byte[] body);

    /** Asks discovery for the endpoint list and its changes, or no longer. */
    void subscribeToEndpoints(boolean on);

    /** Asks discovery for the whole endpoint list once. */
    void fetchEndpointList();

    /** Reports how many nodes of the list get nothing, or little, by maintenance or by choice. */
    void avoidedNodeCountChanged(int count);

    /** Writes a line to the log. */
    void log(String line);
}
