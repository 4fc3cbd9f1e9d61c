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

    /** Whether the client still sends the body, which streams to the server. */
    private boolean isReceivingBody;

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
        isReceivingBody = true;
    }

    /** The client has sent the last byte of the body. */
    void bodyReceived() {
        isReceivingBody = false;
    }

    /** Whether the attempt goes on at the pace of its client, and does not wait for the server. */
    boolean isClientPaced() {
        return isOpen && (isReceivingBody || isStreaming());
    }

    /**
     * The time that the server took. Guards against a server that is held for slow because a client
     * reads a long response slowly.
     */
    long serverTime(long duration) {
        return isStreaming() ? timeToStream : duration;
    }

    void markEnded(Event.AttemptOutcome outcome) {
        isOpen = false;
        mayHaveRun = !outcome.provesNotExecuted;
    }
}
