package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * A body whose bytes are all at hand; empty for a message without one. For one thread at a time.
 */
public final class ByteArrayBody implements MessageBody {
    private final ByteBuffer remaining;
    private boolean ended;

    /**
     * A body of these bytes, which are not copied.
     *
     * @param bytes null or empty for no body
     */
    public ByteArrayBody(byte[] bytes) {
        remaining = ByteBuffer.wrap(bytes == null ? new byte[0] : bytes);
    }

    @Override
    public int availableBytes() {
        return remaining.remaining();
    }

    @Override
    public EntityDetails entityDetails() {
        return availableBytes() == 0 ? null : new BasicEntityDetails(availableBytes(), null);
    }

    @Override
    public boolean writeTo(DataStreamChannel out) throws IOException {
        if (ended) { // The library calls again after the end.
            return false;
        }
        out.write(remaining);
        if (!remaining.hasRemaining()) {
            ended = true;
            out.endStream();
        }
        return ended;
    }
}
