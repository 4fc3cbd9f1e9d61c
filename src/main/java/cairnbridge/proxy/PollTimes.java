package cairnbridge.proxy;

import java.util.Arrays;

/**
 * When the reactor polled its sockets. A thread checks whether it is interrupted directly before
 * each poll, {@value #CHECKS_PER_POLL} times at most: in HttpCore's loop, and in the selector. Used
 * by the reactor's thread only, except for {@link #completedPolls}; all times are ticks.
 */
final class PollTimes {
    private static final int CHECKS_PER_POLL = 2;

    private final TickClock clock;

    /** The times of the latest checks; one more than belong to a poll. The oldest is at next. */
    private final long[] checks = new long[CHECKS_PER_POLL + 1];

    private int next;

    /** The number of checks so far. Written by the reactor's thread only. */
    private volatile long checkCount;

    /** Creates an instance for a reactor that has not polled yet. */
    PollTimes(TickClock clock) {
        this.clock = clock;
        Arrays.fill(checks, clock.now());
    }

    /** Records that a poll is about to begin. */
    void recordCheck() {
        checks[next] = clock.now();
        next = (next + 1) % checks.length;
        long count = checkCount + 1;
        checkCount = count;
    }

    /** The number of polls so far, at the least; any thread may call this. */
    long completedPolls() {
        return checkCount / CHECKS_PER_POLL;
    }

    /**
     * A time before the last poll but one. A connection that was registered then, and whose input
     * is handled now, had no input at that poll.
     */
    long beforePreviousPoll() {
        return checks[next];
    }
}
