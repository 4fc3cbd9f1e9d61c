package cairnbridge.proxy;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;

/** The bytes of a body that have come so far, up to the most that is gathered whole. */
final class BufferedBody {
    static final int MAX_BYTES = 64 * 1024;
    private static final int INITIAL_BYTES = 2048;
    private final ByteArrayOutputStream buffer;

    /** entity is null where there is no body. */
    BufferedBody(EntityDetails entity) {
        long told = entity == null ? 0 : entity.getContentLength();
        // Guards against room taken by hundreds who announce a body and send none.
        buffer = new ByteArrayOutputStream((int) Math.max(0, Math.min(INITIAL_BYTES, told)));
    }

    /** Takes in all that is there; false, and nothing taken, where the body grows too long. */
    boolean tryAppend(ByteBuffer src) {
        boolean fits = buffer.size() + src.remaining() <= MAX_BYTES;
        if (fits) {
            byte[] part = new byte[src.remaining()];
            src.get(part);
            buffer.write(part, 0, part.length);
        }
        return fits;
    }

    byte[] toByteArray() {
        return buffer.toByteArray();
    }
}
