package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;

/**
 * Receives the events of attempts. Called on the reactor thread, or on the coordinator thread if a
 * connection fails while that thread opens or closes it.
 */
interface AttemptListener {
    /**
     * Called once when an attempt ends.
     *
     * @param cacheStatus 1 for a hit, 2 or 3 for a miss, 0 if the node sent no cache status
     * @param body the response body if the outcome is a success and the response was buffered; else
     *     null
     * @param endedAtTicks when the last byte of the response was read, or the attempt failed
     */
    void attemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int cacheStatus,
            byte[] body,
            long endedAtTicks);

    /** A response is streamed, not buffered; the bytes received so far are in its pipe. */
    void responseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe);

    /** The streamed request body is used by this attempt, so no other attempt can send it. */
    void requestBodyClaimed(UpstreamAttempt attempt);

    /** The pooled connection was stale; the attempt must be sent on another connection. */
    void pooledConnectionFailed(UpstreamAttempt attempt);
}
