package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * The clock of all deadlines: Unix time in ticks when it was made, and from then on advanced only
 * by the monotonic clock. For any thread. Tests override {@link #now} and {@link #nanosUntil}.
 */
class TickClock {
    /** As {@link Ticks#MILLISECOND}, for classes that do not use it yet. */
    static final long TICKS_PER_MILLI = Ticks.MILLISECOND;

    /** As {@link Ticks#SECOND}, for classes that do not use it yet. */
    static final long TICKS_PER_SECOND = Ticks.SECOND;

    /** The nanoseconds of a tick. */
    static final long NANOS_PER_TICK = 1_000_000 / Ticks.MILLISECOND;

    private final long startTicks = fromUnixMillis(System.currentTimeMillis());
    private final long startNanos = System.nanoTime();

    /** The present time in ticks. */
    long now() {
        return startTicks + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }

    /** The nanoseconds until a time in ticks has surely come; not positive if it has. */
    long nanosUntil(long dueTicks) {
        return (dueTicks - startTicks) * NANOS_PER_TICK - (System.nanoTime() - startNanos);
    }

    /** The time on such clocks of a Unix time in milliseconds; 0 stays 0, long ago. */
    static long fromUnixMillis(long millis) {
        return Ticks.fromMillis(millis);
    }
}
