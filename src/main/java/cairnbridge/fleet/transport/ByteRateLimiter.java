package cairnbridge.fleet.transport;

import cairnbridge.time.Ticks;

/**
 * A token bucket that limits the bytes sent per second; its capacity is the limit of one second.
 */
final class ByteRateLimiter {
    private final double bytesPerSecond;
    private double available;
    private long filledAt;

    ByteRateLimiter(long bytesPerSecond, long now) {
        this.bytesPerSecond = bytesPerSecond;
        available = bytesPerSecond;
        filledAt = now;
    }

    /** Takes tokens for the bytes; false, with none taken, if too few are available. */
    boolean tryAcquire(int bytes, long now) {
        double refill = Math.max(0, now - filledAt) * bytesPerSecond / Ticks.SECOND;
        available = Math.min(bytesPerSecond, available + refill);
        filledAt = Math.max(filledAt, now);
        if (available < bytes) {
            return false;
        }
        available -= bytes;
        return true;
    }
}
