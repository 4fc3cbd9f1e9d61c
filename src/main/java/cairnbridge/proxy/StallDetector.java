package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * Measures how long the whole process stood still, by the delay of the owner thread's wake-ups.
 * Guards against a stall of the whole process: requests read after it arrived during it, and their
 * TTL ran meanwhile. For the owner thread; all times and durations are ticks.
 */
final class StallDetector {
    private static final long STALL_THRESHOLD_TICKS = 5 * Ticks.MILLISECOND;

    private final long idleWakeupTicks;
    private long lastWakeupTicks;
    private long stallTicks;
    private long stallEndsAtTicks;

    /** A detector for a thread that wakes up at least once in this interval. */
    StallDetector(long idleWakeupTicks) {
        this.idleWakeupTicks = idleWakeupTicks;
    }

    /** The thread has started. */
    void started(long nowTicks) {
        lastWakeupTicks = nowTicks;
    }

    /** The thread has woken up after it meant to wait for at most so long. */
    void wokeUp(long nowTicks, long maxWaitTicks) {
        long delayTicks = nowTicks - lastWakeupTicks - maxWaitTicks;
        lastWakeupTicks = nowTicks;
        if (delayTicks > STALL_THRESHOLD_TICKS) {
            stallTicks = delayTicks + idleWakeupTicks;
            stallEndsAtTicks = nowTicks + idleWakeupTicks;
        } else if (nowTicks > stallEndsAtTicks) {
            stallTicks = 0;
        }
    }

    /** How long a request that is read now may have waited already; 0 if there was no stall. */
    long stallTicks() {
        return stallTicks;
    }
}
