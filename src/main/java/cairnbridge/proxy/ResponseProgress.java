package cairnbridge.proxy;

import org.apache.hc.core5.http.EntityDetails;

/**
 * How much of a response has arrived from its server, and when. The reactor's thread records it;
 * any thread may query it. All times are ticks.
 */
final class ResponseProgress {
    /**
     * The mean rate at which a late response must have arrived to be taken for a long one, if it
     * has paused since. At that rate it has exceeded the longest body that is buffered after some
     * four seconds.
     */
    private static final long MIN_MEAN_BYTES_PER_MILLI = 16;

    /** The rate at which a late response has to arrive now to be taken for a long one. */
    private static final long MIN_PRESENT_BYTES_PER_MILLI = 2;

    private static final long NONE = Long.MAX_VALUE;

    private volatile long headReceivedAtTicks;

    /** When the first bytes of the body were received; {@link #NONE} before. */
    private volatile long firstBytesAtTicks = NONE;

    /** The length according to the head; negative if it is unknown. */
    private volatile long announcedBytes;

    private volatile boolean chunked;
    private volatile long receivedBytes;
    private final RecentRate recentRate = new RecentRate();

    /**
     * Records that the head has been received.
     *
     * @param entity the description of the body; null if there is none
     */
    void headReceived(EntityDetails entity, long now) {
        headReceivedAtTicks = now;
        recentRate.start(now);
        announcedBytes = entity == null ? 0 : entity.getContentLength();
        chunked = entity != null && entity.isChunked();
    }

    /** Adds to the number of received bytes of the body. */
    void bytesReceived(int count, long now) {
        if (firstBytesAtTicks == NONE && count > 0) {
            firstBytesAtTicks = now;
        }
        recentRate.add(count, now);
        long total = receivedBytes + count;
        receivedBytes = total;
    }

    /** When the head was received. */
    long headReceivedAtTicks() {
        return headReceivedAtTicks;
    }

    /** When the first bytes of the body were received; a time that never comes before. */
    long firstBytesAtTicks() {
        return firstBytesAtTicks;
    }

    /** The length according to the head; negative if it is unknown. */
    long announcedBytes() {
        return announcedBytes;
    }

    /** Whether the body is sent in chunks, so that its length is unknown until its end. */
    boolean isChunked() {
        return chunked;
    }

    /** The number of bytes of the body that have been received. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Whether the body is known to be too long to be buffered: only its head has a deadline. */
    boolean isLong() {
        return announcedBytes > BufferedBody.MAX_BYTES || receivedBytes > BufferedBody.MAX_BYTES;
    }

    /**
     * Whether a body of unknown length may still turn out to be a long one, judged by the rate at
     * which it has arrived since its head, and by that at which it arrives now.
     */
    boolean mayBecomeLong(long now) {
        if (announcedBytes >= 0) {
            return false;
        }
        long elapsedMillis = (now - headReceivedAtTicks) / TickClock.TICKS_PER_MILLI;
        return receivedBytes >= elapsedMillis * MIN_MEAN_BYTES_PER_MILLI
                || recentRate.isAtLeast(MIN_PRESENT_BYTES_PER_MILLI, now);
    }
}
