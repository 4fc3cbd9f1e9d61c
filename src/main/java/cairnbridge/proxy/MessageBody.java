package cairnbridge.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The body of an outgoing request or response. */
public interface MessageBody {
    /** The number of bytes that can be written now; at least 1 while the end is not written yet. */
    int availableBytes();

    /** The description of the body for the message head; null if there is no body. */
    EntityDetails entityDetails();

    /**
     * Writes as many bytes as the channel accepts.
     *
     * @return true, once, when the last byte has been written
     */
    boolean writeTo(DataStreamChannel out) throws IOException;
}
