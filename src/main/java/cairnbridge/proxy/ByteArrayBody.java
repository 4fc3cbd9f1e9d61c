package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** A body that is completely in memory; empty for a message without a body. Not thread-safe. */
public final class ByteArrayBody implements MessageBody {
    private final ByteBuffer remaining;
    private boolean ended;

    /**
     * Creates a body from the given bytes, which are not copied.
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
        if (ended) { // The library calls this again after the end of the stream.
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
