package cairnbridge.proxy;

import org.apache.hc.core5.http.EntityDetails;

/**
 * How much of a response has arrived from its server, and when. The reactor's thread records it;
 * any thread may query it. All times are ticks.
 */
final class ResponseProgress {
    /**
     * The rate at which a late response has to arrive to be taken for a long one. At that rate it
     * has exceeded the longest body that is buffered after some four seconds.
     */
    private static final long MIN_BYTES_PER_MILLI = 16;

    private static final long NONE = Long.MAX_VALUE;

    private volatile long headReceivedAtTicks;

    /** When the first bytes of the body were received; {@link #NONE} before. */
    private volatile long firstBytesAtTicks = NONE;

    /** The length according to the head; negative if it is unknown. */
    private volatile long announcedBytes;

    private volatile boolean chunked;
    private volatile long receivedBytes;

    /**
     * Records that the head has been received.
     *
     * @param entity the description of the body; null if there is none
     */
    void headReceived(EntityDetails entity, long now) {
        headReceivedAtTicks = now;
        announcedBytes = entity == null ? 0 : entity.getContentLength();
        chunked = entity != null && entity.isChunked();
    }

    /** Adds to the number of received bytes of the body. */
    void bytesReceived(int count, long now) {
        if (firstBytesAtTicks == NONE && count > 0) {
            firstBytesAtTicks = now;
        }
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
     * which it has arrived since its head.
     */
    boolean mayBecomeLong(long now) {
        long elapsedMillis = (now - headReceivedAtTicks) / TickClock.TICKS_PER_MILLI;
        return announcedBytes < 0 && receivedBytes >= elapsedMillis * MIN_BYTES_PER_MILLI;
    }
}
