package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.nio.ByteBuffer;
import java.util.Arrays;
import org.apache.hc.core5.http.EntityDetails;

/**
 * A body that is short enough to be buffered as a whole, as far as it has been received. Its array
 * never exceeds what it has reserved. Thread-safe.
 */
public final class BufferedBody {
    /** The length of the longest body that is buffered as a whole. */
    public static final int MAX_BYTES = 64 * 1024;

    private static final int INITIAL_BYTES = 2048;
    private static final byte[] NO_BYTES = {};

    private final RequestMemory memory;

    @GuardedBy("this")
    private byte[] array;

    @GuardedBy("this")
    private int size;

    @GuardedBy("this")
    private int reservedBytes;

    @GuardedBy("this")
    private boolean released;

    /**
     * Creates an empty buffer.
     *
     * @param memory what the request may occupy of the memory budget
     * @param entity the body's description in the message head; null if there is no body
     */
    public BufferedBody(RequestMemory memory, EntityDetails entity) {
        this.memory = memory;
        long announcedBytes = entity == null ? 0 : entity.getContentLength();
        // Guards against allocating memory for hundreds of clients that announce but do not send a
        // body.
        int initialBytes = (int) Math.max(0, Math.min(INITIAL_BYTES, announcedBytes));
        reserveAtLeast(initialBytes);
        array = new byte[initialBytes];
    }

    /**
     * Reserves memory for bytes that have been received, whether or not the budget has any left.
     */
    private synchronized void reserveAtLeast(int bytes) {
        if (bytes > reservedBytes) {
            memory.reserve(bytes - reservedBytes);
            reservedBytes = bytes;
        }
    }

    /**
     * Reserves memory for so many more bytes, as far as the longest body needs it; false, and
     * nothing reserved, if the budget is used up.
     */
    public synchronized boolean tryReserve(int bytes) {
        int wanted = Math.min(size + bytes, MAX_BYTES);
        if (wanted > reservedBytes) {
            if (!memory.tryReserve(wanted - reservedBytes)) {
                return false;
            }
            reservedBytes = wanted;
        }
        return true;
    }

    /** Appends all bytes of the source; false, and nothing appended, if the body gets too long. */
    public synchronized boolean tryAppend(ByteBuffer source) {
        int count = source.remaining();
        if (size + count > MAX_BYTES) {
            return false;
        }
        if (released) {
            source.position(source.limit());
            return true;
        }
        if (size + count > array.length) {
            reserveAtLeast(size + count);
            int doubled = Math.min(2 * array.length, reservedBytes);
            array = Arrays.copyOf(array, Math.max(size + count, doubled));
        }
        source.get(array, size, count);
        size += count;
        return true;
    }

    /** The bytes received so far; nothing may be appended from then on. */
    public byte[] toByteArray() {
        byte[] bytes;
        int surplusBytes;
        synchronized (this) {
            if (array.length > size) {
                array = Arrays.copyOf(array, size);
            }
            bytes = array;
            surplusBytes = reservedBytes - size;
            reservedBytes = size;
        }
        memory.release(surplusBytes);
        return bytes;
    }

    /** Returns the memory of a body that is not needed any more, and discards what is appended. */
    public void release() {
        int bytes;
        synchronized (this) {
            bytes = reservedBytes;
            reservedBytes = 0;
            released = true;
            array = NO_BYTES;
            size = 0;
        }
        memory.release(bytes);
    }
}
