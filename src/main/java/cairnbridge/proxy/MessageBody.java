package cairnbridge.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The body of a message that is sent. */
public interface MessageBody {
    /** How many bytes there are to write; at least 1 while its end is still to be written. */
    int availableBytes();

    /** What the message's head says of the body; null if there is none. */
    EntityDetails entityDetails();

    /**
     * Writes what the channel takes.
     *
     * @return true, once, if that was the last byte
     */
    boolean writeTo(DataStreamChannel out) throws IOException;
}
