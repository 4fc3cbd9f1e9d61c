package cairnbridge.time;

import java.util.concurrent.TimeUnit;

/**
 * The program's unit of time: one tick is a tenth of a millisecond. Times and durations of type
 * {@code long} are in ticks unless their name contains another unit, such as {@code Millis}.
 */
public final class Ticks {
    /** Number of ticks in a millisecond. */
    public static final long MILLISECOND = 10;

    /** Number of ticks in a second. */
    public static final long SECOND = 1_000 * MILLISECOND;

    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(1) / MILLISECOND;

    private Ticks() {}

    /** The current time of a monotonic clock, in ticks; its zero point is arbitrary. */
    public static long now() {
        return System.nanoTime() / NANOS_PER_TICK;
    }

    /** Converts a duration in milliseconds to ticks. */
    public static long fromMillis(long millis) {
        return millis * MILLISECOND;
    }

    /** Converts a duration in ticks to whole milliseconds, rounded down. */
    public static long toMillis(long ticks) {
        return ticks / MILLISECOND;
    }

    /** Converts a duration in ticks to whole seconds, rounded down. */
    public static long toSeconds(long ticks) {
        return ticks / SECOND;
    }
}
