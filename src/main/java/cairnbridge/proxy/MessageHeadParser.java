package cairnbridge.proxy;

import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** What the parsers of request and response heads check alike; for the reactor thread. */
final class MessageHeadParser {
    private MessageHeadParser() {}

    /**
     * Guards against a head that breaks off: the library would take what has come for the whole of
     * it.
     *
     * @param head what the library has parsed; null if it waits for more data
     * @param ended whether the connection delivers no more
     * @return the head
     */
    static <T extends HttpMessage> T requireComplete(
            T head, SessionInputBuffer buffer, boolean ended) throws ProtocolException {
        if (head == null && ended && buffer.hasData()) {
            throw new ProtocolException("head broke off");
        }
        return head;
    }
}
