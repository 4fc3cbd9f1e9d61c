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
