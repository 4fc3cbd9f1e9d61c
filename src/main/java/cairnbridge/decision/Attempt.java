package cairnbridge.decision;

/**
 * One attempt to send a request to a server. Until its outcome is known, the server may have
 * executed the request.
 */
final class Attempt {
    final ServerNode node;
    final long sentAt;

    /** Whether the attempt goes to the origin rather than to a cache. */
    final boolean isFetch;

    private static final long NOT_RECEIVED = Long.MAX_VALUE;

    /** The time from the start to the last byte of a body that streams; 0 if none streams. */
    private long timeToBody;

    /** The time from the start to the response's first bytes; negative before it streams. */
    private long timeToStream = -1;

    private boolean isOpen = true;
    private boolean mayHaveRun = true;

    Attempt(ServerNode node, long sentAt, boolean isFetch) {
        this.node = node;
        this.sentAt = sentAt;
        this.isFetch = isFetch;
    }

    boolean isOpen() {
        return isOpen;
    }

    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Whether the response streams, or has streamed, to the client. */
    boolean isStreaming() {
        return timeToStream >= 0;
    }

    void streamingStarted(long elapsed) {
        timeToStream = elapsed;
    }

    void bodyStreamingStarted() {
        timeToBody = NOT_RECEIVED;
    }

    /** The client has sent the last byte of the body. */
    void bodyReceived(long now) {
        timeToBody = isReceivingBody() ? now - sentAt : timeToBody;
    }

    private boolean isReceivingBody() {
        return timeToBody == NOT_RECEIVED;
    }

    /** Whether the attempt goes on at the pace of its client, and does not wait for the server. */
    boolean isClientPaced() {
        return isOpen && (isReceivingBody() || isStreaming());
    }

    /**
     * The time that the server took. Guards against a server that is held for slow because a client
     * sends a long body or reads a long response slowly.
     */
    long serverTime(long duration) {
        return Math.max(0, (isStreaming() ? timeToStream : duration) - timeToBody);
    }

    void markEnded(Event.AttemptOutcome outcome) {
        isOpen = false;
        mayHaveRun = !outcome.provesNotExecuted;
    }
}
