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

    void markEnded(Event.AttemptOutcome outcome) {
        isOpen = false;
        mayHaveRun = !outcome.provesNotExecuted;
    }
}
