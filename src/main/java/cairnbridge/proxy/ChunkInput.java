package cairnbridge.proxy;

import java.io.IOException;
import java.util.Set;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input of a chunk decoder. Guards against trailers that fill the heap until their message is
 * complete: the proxy uses none, so their lines are left out. Used on the reactor's thread.
 */
final class ChunkInput extends FilteredInput {
    private final LineSelector selector = new LineSelector(Set.of());
    private boolean readingTrailers;

    @Override
    public boolean readLine(CharArrayBuffer line, boolean ended) throws IOException {
        while (input().readLine(line, ended)) {
            if (line.length() == 0 || !readingTrailers) {
                beginTrailers(isLastChunk(line));
                return true;
            }
            if (selector.isKept(line)) {
                return true;
            }
            line.clear();
        }
        return false;
    }

    /** Guards against counting the trailers of all messages of a connection together. */
    private void beginTrailers(boolean begin) {
        readingTrailers = begin;
        if (begin) {
            selector.reset();
        }
    }

    /** Whether the line announces a chunk of size zero, which the trailers follow. */
    private static boolean isLastChunk(CharArrayBuffer line) {
        int digits = 0;
        while (digits < line.length() && line.charAt(digits) == '0') {
            digits++;
        }
        boolean ended = digits == line.length() || " \t;".indexOf(line.charAt(digits)) >= 0;
        return digits > 0 && ended;
    }
}
