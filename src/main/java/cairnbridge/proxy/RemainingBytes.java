package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The bytes of a body that are still to be written. */
final class RemainingBytes implements Body {
    private final ByteBuffer bytes;
    private boolean ended;

    /** body is null where there is none. */
    RemainingBytes(byte[] body) {
        bytes = ByteBuffer.wrap(body == null ? new byte[0] : body);
    }

    @Override
    public int left() {
        return bytes.remaining();
    }

    @Override
    public EntityDetails entity() {
        return left() == 0 ? null : new BasicEntityDetails(left(), null);
    }

    @Override
    public boolean write(DataStreamChannel out) throws IOException {
        if (ended) { // The library asks again after the end.
            return false;
        }
        out.write(bytes);
        if (!bytes.hasRemaining()) {
            ended = true;
            out.endStream();
        }
        return ended;
    }
}
