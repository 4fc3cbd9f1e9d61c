package cairnbridge.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** The body of a message that goes out. */
interface MessageBody {
    /** Above 0 while there is something to hand over, its end included. */
    int availableBytes();

    /** What the message's head says of the body; null where there is none. */
    EntityDetails entityDetails();

    /** Hands over what it can; true, once, where that was the last byte. */
    boolean writeTo(DataStreamChannel out) throws IOException;
}
