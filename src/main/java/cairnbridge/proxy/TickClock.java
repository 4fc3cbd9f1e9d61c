package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * The clock of all deadlines. It starts at the Unix time of its creation, in ticks, and advances
 * only with the monotonic clock, so that changes of the system time do not affect it. Thread-safe.
 * Tests override {@link #now} and {@link #nanosUntil}.
 */
class TickClock {
    /** Same as {@link Ticks#MILLISECOND}, for the classes that still use this constant. */
    static final long TICKS_PER_MILLI = Ticks.MILLISECOND;

    /** Same as {@link Ticks#SECOND}, for the classes that still use this constant. */
    static final long TICKS_PER_SECOND = Ticks.SECOND;

    /** The number of nanoseconds in a tick. */
    static final long NANOS_PER_TICK = 1_000_000 / Ticks.MILLISECOND;

    private final long startTicks = fromUnixMillis(System.currentTimeMillis());
    private final long startNanos = System.nanoTime();

    /** The present time in ticks. */
    long now() {
        return startTicks + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }

    /** The nanoseconds until the clock has reached a time in ticks; 0 or less if it has. */
    long nanosUntil(long dueTicks) {
        return (dueTicks - startTicks) * NANOS_PER_TICK - (System.nanoTime() - startNanos);
    }

    /** Converts a Unix time in milliseconds to ticks; 0 stays 0, which means long ago. */
    static long fromUnixMillis(long millis) {
        return Ticks.fromMillis(millis);
    }
}
