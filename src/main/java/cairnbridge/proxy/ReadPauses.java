package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * Bounds the time at which a client sent the last byte of a body that the proxy reads with pauses.
 * Guards against a deadline that counts from the read: while reading is paused, the rest of the
 * body waits in the buffers of the operating systems, and the client has sent it long before.
 * Thread-safe; all times are on the clock of {@link System#nanoTime}.
 */
final class ReadPauses {
    /** The most bytes of its output that Linux holds for a client that sets no limit itself. */
    private static final long CLIENT_BUFFER_BYTES = 4 << 20;

    /**
     * The most bytes of a connection that the operating systems of a client and of the proxy hold
     * together. A client with more than this left has not sent its last byte. The system counts
     * twice the size that is asked for.
     */
    static final long MAX_UNREAD_BYTES = CLIENT_BUFFER_BYTES + 2 * Acceptor.RECEIVE_BUFFER_BYTES;

    private static final long NONE = Long.MIN_VALUE;

    /** Since when the input may hold unread bytes; {@link #NONE} if it was found drained since. */
    @GuardedBy("this")
    private long unreadSinceNanos = NONE;

    /** A later pause, from which on less than {@link #MAX_UNREAD_BYTES} have been received. */
    @GuardedBy("this")
    private long laterPauseNanos;

    @GuardedBy("this")
    private long laterPauseBytes;

    /**
     * Records that reading is paused.
     *
     * @param receivedBytes the bytes of the body received so far
     * @param bytesLeft the bytes of the body yet to be received; negative if that is unknown
     */
    synchronized void paused(long nowNanos, long receivedBytes, long bytesLeft) {
        if (bytesLeft > MAX_UNREAD_BYTES) {
            return;
        }
        if (unreadSinceNanos == NONE) {
            unreadSinceNanos = nowNanos;
        } else if (receivedBytes - laterPauseBytes >= MAX_UNREAD_BYTES) {
            unreadSinceNanos = laterPauseNanos;
        } else {
            return;
        }
        laterPauseNanos = nowNanos;
        laterPauseBytes = receivedBytes;
    }

    /** Records that the client has sent nothing that is not read. */
    synchronized void drained() {
        unreadSinceNanos = NONE;
    }

    /** For how long a byte that is read now may have waited, in nanoseconds; 0 if not at all. */
    synchronized long unreadNanos(long nowNanos) {
        return unreadSinceNanos == NONE ? 0 : Math.max(0, nowNanos - unreadSinceNanos);
    }
}
