package cairnbridge.proxy;

import java.util.Locale;
import java.util.Set;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Selects the lines of one message head, or of its trailers, that are kept in memory: those of
 * headers that the proxy uses, and those that are not well-formed, which the library rejects. Not
 * thread-safe.
 */
final class LineSelector {
    /** The limit on all lines together, kept or not; the library limits a single line. */
    private static final long MAX_TOTAL_CHARS =
            (long) HttpSettings.MAX_HEADERS * HttpSettings.MAX_HEAD_LINE_BYTES;

    private static final String TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~";

    private final Set<String> usedHeaders;
    private int headerCount;
    private long totalChars;
    private boolean droppingHeader;

    /**
     * Creates a selector that has seen no line.
     *
     * @param usedHeaders the names of the headers to keep, in lower case
     */
    LineSelector(Set<String> usedHeaders) {
        this.usedHeaders = usedHeaders;
    }

    /** Begins the next head. */
    void reset() {
        headerCount = 0;
        totalChars = 0;
        droppingHeader = false;
    }

    /**
     * Whether the next header line of the head is kept.
     *
     * @throws MessageConstraintException if the head has too many headers or is too long
     */
    boolean isKept(CharArrayBuffer line) throws MessageConstraintException {
        totalChars += line.length();
        if (totalChars > MAX_TOTAL_CHARS) {
            throw new MessageConstraintException("head is too long");
        }
        if (isContinuation(line)) {
            return !droppingHeader;
        }
        if (++headerCount > HttpSettings.MAX_HEADERS) {
            throw new MessageConstraintException("too many headers");
        }
        int colon = line.indexOf(':');
        droppingHeader = colon > 0 && isToken(line, colon) && !isUsed(line, colon);
        return !droppingHeader;
    }

    private boolean isContinuation(CharArrayBuffer line) {
        char first = line.charAt(0);
        return headerCount > 0 && (first == ' ' || first == '\t');
    }

    private boolean isUsed(CharArrayBuffer line, int nameLength) {
        return usedHeaders.contains(line.substring(0, nameLength).toLowerCase(Locale.ROOT));
    }

    /** Guards against dropping a line that the library would reject, such as a smuggled length. */
    private static boolean isToken(CharArrayBuffer line, int length) {
        for (int i = 0; i < length; i++) {
            char c = line.charAt(i);
            boolean alphanumeric = c < 128 && Character.isLetterOrDigit(c);
            if (!alphanumeric && TOKEN_CHARACTERS.indexOf(c) < 0) {
                return false;
            }
        }
        return true;
    }
}
