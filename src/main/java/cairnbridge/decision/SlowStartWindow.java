package cairnbridge.decision;

/**
 * The number of attempts that one server in slow start may still be sent, and the end of the
 * current window.
 */
final class SlowStartWindow {
    private int remaining;
    private long endsAt;

    void restart(long now) {
        endsAt = now;
    }

    boolean hasEnded(long now) {
        return now >= endsAt;
    }

    long endsAt() {
        return endsAt;
    }

    void begin(int attempts, long end) {
        remaining = attempts;
        endsAt = end;
    }

    boolean hasRemaining() {
        return remaining > 0;
    }

    void attemptSent() {
        remaining--;
    }
}
