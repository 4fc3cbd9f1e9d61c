package cairnbridge.scale.datapath;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/** The head of an HTTP/1.1 message, up to its empty line. */
record HttpHead(String text) {
    private static final String END = "\r\n\r\n";
    private static final String LENGTH = "\r\ncontent-length:";
    private static final String CLOSE = "\r\nconnection: close\r\n";
    private static final int STATUS_FROM = 9;
    private static final int STATUS_TO = 12;

    /** Empty where the stream ends before a message begins. */
    static Optional<HttpHead> read(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < END.length()) {
            int next = in.read();
            if (next < 0 && head.size() == 0) {
                return Optional.empty();
            }
            if (next < 0) {
                throw new EOFException("a message ended within its head");
            }
            head.write(next);
            matched = next == END.charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
        }
        return Optional.of(new HttpHead(head.toString(StandardCharsets.ISO_8859_1)));
    }

    /** The status of a response. */
    int status() {
        return Integer.parseInt(text.substring(STATUS_FROM, STATUS_TO));
    }

    /** Whether the connection ends with this message. */
    boolean closes() {
        return text.toLowerCase(Locale.ROOT).contains(CLOSE);
    }

    /** 0 where the head names none. */
    int contentLength() {
        int at = text.toLowerCase(Locale.ROOT).indexOf(LENGTH);
        if (at < 0) {
            return 0;
        }
        int from = at + LENGTH.length();
        return Integer.parseInt(text.substring(from, text.indexOf("\r\n", from)).strip());
    }
}
