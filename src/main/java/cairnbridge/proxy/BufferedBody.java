package cairnbridge.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;

/**
 * The bytes received so far of a body that is short enough to be buffered whole. For one thread.
 */
public final class BufferedBody {
    /** The longest body that is buffered whole. */
    public static final int MAX_BYTES = 64 * 1024;

    private static final int INITIAL_BYTES = 2048;
    private final ByteArrayOutputStream buffer;

    /**
     * A buffer without any bytes yet.
     *
     * @param entity what the message's head says of its body; null if there is none
     */
    public BufferedBody(EntityDetails entity) {
        long announcedBytes = entity == null ? 0 : entity.getContentLength();
        // Guards against memory taken by hundreds who announce a body and send none.
        long initialBytes = Math.max(0, Math.min(INITIAL_BYTES, announcedBytes));
        buffer = new ByteArrayOutputStream((int) initialBytes);
    }

    /** Takes all that is there; false, and nothing taken, if the body grows too long. */
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
