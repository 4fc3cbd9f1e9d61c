package cairnbridge.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;

/**
 * A body that is short enough to be buffered as a whole, as far as it has been received. Not
 * thread-safe.
 */
public final class BufferedBody {
    /** The length of the longest body that is buffered as a whole. */
    public static final int MAX_BYTES = 64 * 1024;

    private static final int INITIAL_BYTES = 2048;
    private final ByteArrayOutputStream buffer;

    /**
     * Creates an empty buffer.
     *
     * @param entity the body's description in the message head; null if there is no body
     */
    public BufferedBody(EntityDetails entity) {
        long announcedBytes = entity == null ? 0 : entity.getContentLength();
        // Guards against allocating memory for hundreds of clients that announce but do not send a
        // body.
        long initialBytes = Math.max(0, Math.min(INITIAL_BYTES, announcedBytes));
        buffer = new ByteArrayOutputStream((int) initialBytes);
    }

    /** Appends all bytes of the source; false, and nothing appended, if the body gets too long. */
    public boolean tryAppend(ByteBuffer source) {
        boolean fits = buffer.size() + source.remaining() <= MAX_BYTES;
        if (fits) {
            byte[] chunk = new byte[source.remaining()];
            source.get(chunk);
            buffer.write(chunk, 0, chunk.length);
        }
        return fits;
    }

    /** A copy of the bytes received so far. */
    public byte[] toByteArray() {
        return buffer.toByteArray();
    }
}
