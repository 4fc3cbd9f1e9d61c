package cairnbridge.proxy;

/**
 * The module's clock: whole tenths of a millisecond of Unix time, stepped only by the monotonic
 * clock.
 */
class TickClock {
    static final long TICKS_PER_MILLI = 10;
    static final long TICKS_PER_SECOND = 10_000;

    /** Nanoseconds in one tenth. */
    static final long NANOS_PER_TICK = 100_000;

    private final long startTicks = System.currentTimeMillis() * TICKS_PER_MILLI;
    private final long startNanos = System.nanoTime();

    long now() {
        return startTicks + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }

    /** Nanoseconds until a time on this clock has surely come; timers round up. */
    long nanosUntil(long due) {
        return (due - startTicks) * NANOS_PER_TICK - (System.nanoTime() - startNanos);
    }

    /** Discovery's Unix milliseconds on this clock; 0 stays 0, long ago. */
    static long fromUnixMillis(long millis) {
        return millis * TICKS_PER_MILLI;
    }
}
