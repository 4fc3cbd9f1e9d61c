package cairnbridge.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Where a message's body ends, by its own fields; the library takes some that can be read in two
 * ways.
 */
final class MessageFraming {
    private static final String LENGTH = "Content-Length";
    private static final String CODING = "Transfer-Encoding";
    private static final String UNCLEAR_LENGTH = "body without one clear length";
    private static final int MAX_LENGTH_DIGITS = 8;

    /** The longest body that passes through, in bytes. */
    static final long MAX_BODY_BYTES = 40 << 20;

    private MessageFraming() {}

    /**
     * Guards against a head that breaks off: the library takes what has come for the whole of it.
     */
    static void requireCompleteHead(HttpMessage head, SessionInputBuffer buffer, boolean ended)
            throws ProtocolException {
        if (head == null && ended && buffer.hasData()) {
            throw new ProtocolException("head broke off");
        }
    }

    /**
     * An answer may end with its connection where it says so; else what breaks off would seem
     * whole.
     */
    static void requireClearLength(HttpResponse answer) throws ProtocolException {
        Header connection = answer.getFirstHeader("Connection");
        boolean closes = connection != null && connection.getValue().equalsIgnoreCase("close");
        int code = answer.getCode();
        requireClearLength(
                answer,
                closes || code == HttpStatus.SC_NO_CONTENT || code == HttpStatus.SC_NOT_MODIFIED);
    }

    /** unframed: a message that says nothing of a body is in order. */
    static void requireClearLength(HttpMessage message, boolean unframed) throws ProtocolException {
        String fault = findLengthFault(message, unframed);
        if (fault != null) {
            throw new ProtocolException(fault);
        }
    }

    /** What is wrong with it, or null. */
    private static String findLengthFault(HttpMessage message, boolean unframed) {
        int lengths = message.countHeaders(LENGTH);
        int codings = message.countHeaders(CODING);
        if (lengths + codings == 0 && unframed) {
            return null;
        } else if (lengths + codings != 1) {
            return UNCLEAR_LENGTH;
        } else if (codings == 1) {
            return message.getFirstHeader(CODING).getValue().equalsIgnoreCase("chunked")
                    ? null
                    : UNCLEAR_LENGTH;
        }
        String text = message.getFirstHeader(LENGTH).getValue();
        int length = text.isEmpty() || text.length() > MAX_LENGTH_DIGITS ? -1 : 0;
        for (int i = 0; i < text.length() && length >= 0; i++) {
            int digit = text.charAt(i) - '0';
            length = digit < 0 || digit > 9 ? -1 : length * 10 + digit;
        }
        return length < 0 ? UNCLEAR_LENGTH : length > MAX_BODY_BYTES ? "body is too long" : null;
    }
}
