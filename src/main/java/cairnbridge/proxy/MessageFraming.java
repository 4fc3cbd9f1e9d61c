package cairnbridge.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;

/**
 * Checks that the headers of a message determine the end of its body unambiguously. The library
 * accepts some ambiguous messages; this class rejects them. Stateless and thread-safe.
 */
public final class MessageFraming {
    /** The length of the longest body that is forwarded. */
    public static final long MAX_BODY_BYTES = 40L << 20;

    private static final String LENGTH_HEADER = "Content-Length";
    private static final String CODING_HEADER = "Transfer-Encoding";
    private static final String CONNECTION_HEADER = "Connection";
    private static final String AMBIGUOUS_LENGTH = "body without one clear length";
    private static final String TOO_LONG = "body is too long";
    private static final int MAX_LENGTH_DIGITS = 8;
    private static final int DECIMAL_BASE = 10;
    private static final int NOT_A_NUMBER = -1;

    private MessageFraming() {}

    /**
     * Rejects a response without exactly one unambiguous length. Its body may extend to the end of
     * the connection only if the response announces that the connection is closed; otherwise a
     * truncated response would look complete.
     */
    static void requireUnambiguousLength(HttpResponse response) throws ProtocolException {
        Header connection = response.getFirstHeader(CONNECTION_HEADER);
        boolean closes = connection != null && connection.getValue().equalsIgnoreCase("close");
        int status = response.getCode();
        boolean bodyless =
                status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED;
        requireUnambiguousLength(response, closes || bodyless);
    }

    /**
     * Rejects a message without exactly one unambiguous length.
     *
     * @param mayBeUnframed whether the message may have neither a length nor a transfer coding
     */
    static void requireUnambiguousLength(HttpMessage message, boolean mayBeUnframed)
            throws ProtocolException {
        int lengths = message.countHeaders(LENGTH_HEADER);
        int codings = message.countHeaders(CODING_HEADER);
        if (lengths + codings == 0 && mayBeUnframed) {
            return;
        }
        if (lengths + codings != 1) {
            throw new ProtocolException(AMBIGUOUS_LENGTH);
        }
        if (codings == 1) {
            requireChunked(message.getFirstHeader(CODING_HEADER).getValue());
        } else {
            requireLength(message.getFirstHeader(LENGTH_HEADER).getValue());
        }
    }

    private static void requireChunked(String coding) throws ProtocolException {
        if (!coding.equalsIgnoreCase("chunked")) {
            throw new ProtocolException(AMBIGUOUS_LENGTH);
        }
    }

    private static void requireLength(String text) throws ProtocolException {
        int length = parseLength(text);
        if (length == NOT_A_NUMBER) {
            throw new ProtocolException(AMBIGUOUS_LENGTH);
        }
        if (length > MAX_BODY_BYTES) {
            throw new ProtocolException(TOO_LONG);
        }
    }

    /** Parses a number of decimal digits only; a sign or a blank makes it {@link #NOT_A_NUMBER}. */
    private static int parseLength(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH_DIGITS) {
            return NOT_A_NUMBER;
        }
        int length = 0;
        for (int i = 0; i < text.length(); i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit >= DECIMAL_BASE) {
                return NOT_A_NUMBER;
            }
            length = length * DECIMAL_BASE + digit;
        }
        return length;
    }
}
