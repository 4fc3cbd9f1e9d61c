package cairnbridge.proxy;

import cairnbridge.time.Ticks;
import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * The rate at which bytes arrive at present, measured over the latest two windows in which some
 * have arrived; 0 after a silence. Thread-safe; all times are ticks.
 */
final class RecentRate {
    private static final long WINDOW_TICKS = 250 * Ticks.MILLISECOND;
    private static final long MAX_SILENCE_TICKS = 300 * Ticks.MILLISECOND;

    @GuardedBy("this")
    private long totalBytes;

    @GuardedBy("this")
    private long latestTicks;

    @GuardedBy("this")
    private long windowStartTicks;

    @GuardedBy("this")
    private long bytesBeforeWindow;

    @GuardedBy("this")
    private long previousStartTicks;

    @GuardedBy("this")
    private long bytesBeforePrevious;

    /** Begins to count at this time. */
    synchronized void start(long now) {
        latestTicks = now;
        windowStartTicks = now;
        previousStartTicks = now;
    }

    /** Adds bytes that have arrived now. */
    synchronized void add(int bytes, long now) {
        if (now - windowStartTicks >= WINDOW_TICKS) {
            previousStartTicks = windowStartTicks;
            bytesBeforePrevious = bytesBeforeWindow;
            windowStartTicks = now;
            bytesBeforeWindow = totalBytes;
        }
        totalBytes += bytes;
        latestTicks = now;
    }

    /** Whether bytes arrive at this rate or faster. */
    synchronized boolean isAtLeast(long bytesPerMilli, long now) {
        if (now - latestTicks > MAX_SILENCE_TICKS) {
            return false;
        }
        long elapsedMillis = Ticks.toMillis(now - previousStartTicks);
        return totalBytes - bytesBeforePrevious >= elapsedMillis * bytesPerMilli;
    }
}
