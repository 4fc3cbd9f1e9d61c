package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;

/** What happens to an attempt at a server; called on the reactor's thread or the owner thread. */
interface AttemptListener {
    /**
     * An attempt has ended.
     *
     * @param body the answer where the outcome is a success that does not pass through
     * @param endedAtTicks the time of its last byte
     */
    void attemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int storeNote,
            byte[] body,
            long endedAtTicks);

    /** An answer has begun that is too long to be buffered; what has come waits in its pipe. */
    void responseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe);

    /** The request's body is on its way and is not kept: no other attempt can be made. */
    void requestBodyClaimed(UpstreamAttempt attempt);

    /** The kept connection was of no use; the attempt waits for another. */
    void pooledConnectionFailed(UpstreamAttempt attempt);
}
