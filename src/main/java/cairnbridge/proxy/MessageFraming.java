package cairnbridge.proxy;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.ProtocolException;

/**
 * Where a message's body ends, by its own headers. The library accepts some that can be read in two
 * ways; this does not. Stateless, for any thread.
 */
public final class MessageFraming {
    /** The longest body that is forwarded. */
    public static final long MAX_BODY_BYTES = 40L << 20;

    private static final String LENGTH_HEADER = "Content-Length";
    private static final String CODING_HEADER = "Transfer-Encoding";
    private static final String CONNECTION_HEADER = "Connection";
    private static final String UNCLEAR_LENGTH = "body without one clear length";
    private static final String TOO_LONG = "body is too long";
    private static final int MAX_LENGTH_DIGITS = 8;
    private static final int DECIMAL_BASE = 10;
    private static final int NOT_A_NUMBER = -1;

    private MessageFraming() {}

    /**
     * Rejects a response without one clear length. It may end with its connection if it says so;
     * else one that breaks off would seem whole.
     */
    static void requireClearLength(HttpResponse response) throws ProtocolException {
        Header connection = response.getFirstHeader(CONNECTION_HEADER);
        boolean closes = connection != null && connection.getValue().equalsIgnoreCase("close");
        int status = response.getCode();
        boolean bodyless =
                status == HttpStatus.SC_NO_CONTENT || status == HttpStatus.SC_NOT_MODIFIED;
        requireClearLength(response, closes || bodyless);
    }

    /**
     * Rejects a message without one clear length.
     *
     * @param mayBeUnframed whether it may have no header that says where its body ends
     */
    static void requireClearLength(HttpMessage message, boolean mayBeUnframed)
            throws ProtocolException {
        int lengths = message.countHeaders(LENGTH_HEADER);
        int codings = message.countHeaders(CODING_HEADER);
        if (lengths + codings == 0 && mayBeUnframed) {
            return;
        }
        if (lengths + codings != 1) {
            throw new ProtocolException(UNCLEAR_LENGTH);
        }
        if (codings == 1) {
            requireChunked(message.getFirstHeader(CODING_HEADER).getValue());
        } else {
            requireLength(message.getFirstHeader(LENGTH_HEADER).getValue());
        }
    }

    private static void requireChunked(String coding) throws ProtocolException {
        if (!coding.equalsIgnoreCase("chunked")) {
            throw new ProtocolException(UNCLEAR_LENGTH);
        }
    }

    private static void requireLength(String text) throws ProtocolException {
        int length = parseLength(text);
        if (length == NOT_A_NUMBER) {
            throw new ProtocolException(UNCLEAR_LENGTH);
        }
        if (length > MAX_BODY_BYTES) {
            throw new ProtocolException(TOO_LONG);
        }
    }

    /** The number that the text has in digits alone, without sign or blank. */
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
