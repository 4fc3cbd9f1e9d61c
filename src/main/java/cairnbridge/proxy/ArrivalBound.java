package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * Bounds the time for which the bytes that are read from one client connection have waited. Guards
 * against a request that waits in its socket while the reactor or the acceptor is held up, and is
 * then given its whole TTL. Used by the reactor's thread only, except for {@link #completedPolls};
 * all times are ticks.
 */
public final class ArrivalBound {
    /** How often a reactor or an acceptor without events polls. */
    static final long POLL_INTERVAL_MILLIS = 20;

    /**
     * The wait that is not taken off a TTL. A part of it is the two polls of an idle reactor and
     * the handling of other events; the rest is left to busy processes, within the slack of 150 ms
     * that the platform allows a deadline.
     */
    private static final long TOLERATED_TICKS = 100 * Ticks.MILLISECOND;

    private final TickClock clock;
    private final PollTimes pollTimes;
    private final long notQueuedTicks;
    private final long registeredTicks;

    /**
     * Creates the bound of a connection that the reactor registers now.
     *
     * @param notQueuedTicks a time at which the client had not connected yet
     */
    ArrivalBound(TickClock clock, PollTimes pollTimes, long notQueuedTicks) {
        this.clock = clock;
        this.pollTimes = pollTimes;
        this.notQueuedTicks = notQueuedTicks;
        registeredTicks = clock.now();
    }

    /** The number of polls of the reactor so far, at the least; any thread may call this. */
    long completedPolls() {
        return pollTimes.completedPolls();
    }

    /**
     * How long a byte that is read now may have waited beyond the time that is tolerated; 0 if not
     * at all.
     */
    long delayTicks() {
        long polledTicks = pollTimes.beforePreviousPoll();
        long arrivedAfterTicks = polledTicks > registeredTicks ? polledTicks : notQueuedTicks;
        return Math.max(0, clock.now() - arrivedAfterTicks - TOLERATED_TICKS);
    }
}
