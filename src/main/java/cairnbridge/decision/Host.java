package cairnbridge.decision;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;

/**
 * What a router may ask of the proxy it lives in. All times are spans in tenths of a millisecond.
 * Calls take effect in the order they are made, at the time of the event being handled.
 */
public interface Host {
    /**
     * Starts a push; pushes of an op are numbered 0, 1, 2 ... in the order of these calls. Its last
     * byte may leave before latestBegin, a time of the clock, or not at all.
     */
    void sendAttempt(RequestId op, NodeId node, long timeOut, long latestBegin);

    void cancelAttempt(RequestId op, int push);

    /** Final answer: turned away, trying again is harmless; retryAfter 0 gives no advice. */
    void rejectRetryable(RequestId op, long retryAfter);

    /** Final answer: dead letter, no promise about effects. */
    void failPermanently(RequestId op);

    void startTimer(long in, TimerId timer);

    void checkHealth(NodeId node);

    /** Sends a message to one peer, or to all of them when peer is null. */
    void sendToPeer(PeerId peer, byte[] body);

    void subscribeToEndpoints(boolean on);

    void fetchEndpointList();

    /** How many nodes of the list get nothing, or little, by hand or by choice. */
    void avoidedNodeCountChanged(int nodes);

    void log(String line);
}
