package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The bytes of a body that are still to be written. */
final class ByteArrayBody implements MessageBody {
    private final ByteBuffer remaining;
    private boolean ended;

    /** body is null where there is none. */
    ByteArrayBody(byte[] body) {
        remaining = ByteBuffer.wrap(body == null ? new byte[0] : body);
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
        if (ended) { // The library asks again after the end.
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
