package cairnbridge.proxy;

import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/** The check that request and response head parsers share; used on the reactor's thread. */
final class MessageHeadParser {
    private MessageHeadParser() {}

    /**
     * Guards against a truncated head, which the library would accept as complete.
     *
     * @param head the head that the library has parsed; null if it needs more data
     * @param ended whether the connection has reached the end of its input
     * @return the given head
     */
    static <T extends HttpMessage> T requireComplete(
            T head, SessionInputBuffer buffer, boolean ended) throws ProtocolException {
        if (head == null && ended && buffer.hasData()) {
            throw new ProtocolException("head broke off");
        }
        return head;
    }
}
