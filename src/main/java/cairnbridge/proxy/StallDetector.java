package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * Measures how long the whole process was stalled, by how late the coordinator thread wakes up.
 * Guards against a request that arrives during a stall, is read after it, and is then given its
 * full TTL although a part of it has passed. Used only by the coordinator thread; all times and
 * durations are ticks.
 */
final class StallDetector {
    private static final long STALL_THRESHOLD_TICKS = 5 * Ticks.MILLISECOND;

    private final long idleWakeupTicks;
    private final StallHistory history;
    private long lastWakeupTicks;
    private long stallTicks;
    private long stallEndsAtTicks;

    /**
     * Creates a detector for a thread that waits for at most this time before it wakes up.
     *
     * @param history receives each stall
     */
    StallDetector(long idleWakeupTicks, StallHistory history) {
        this.idleWakeupTicks = idleWakeupTicks;
        this.history = history;
    }

    /** Starts the measurement. Must be called when the thread starts, before its first wait. */
    void started(long nowTicks) {
        lastWakeupTicks = nowTicks;
        history.wokeUp(nowTicks, 0);
    }

    /**
     * Updates the measured stall. Must be called when the thread wakes up after a wait of at most
     * the given time.
     */
    void wokeUp(long nowTicks, long maxWaitTicks) {
        long delayTicks = nowTicks - lastWakeupTicks - maxWaitTicks;
        lastWakeupTicks = nowTicks;
        history.wokeUp(nowTicks, delayTicks > STALL_THRESHOLD_TICKS ? delayTicks : 0);
        if (delayTicks > STALL_THRESHOLD_TICKS) {
            stallTicks = delayTicks + idleWakeupTicks;
            stallEndsAtTicks = nowTicks + idleWakeupTicks;
        } else if (nowTicks > stallEndsAtTicks) {
            stallTicks = 0;
        }
    }

    /** How long a request that is read now may have been waiting; 0 if there was no stall. */
    long stallTicks() {
        return stallTicks;
    }
}
