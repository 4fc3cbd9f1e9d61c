package cairnbridge.decision;

/** One attempt of a request at a server; until its outcome is known it may have run. */
final class Attempt {
    final ServerNode node;
    final long sentAt;

    /** Whether it goes to the origin. */
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

    void ended(Event.AttemptOutcome outcome) {
        isOpen = false;
        mayHaveRun = !outcome.provesNotExecuted;
    }
}
