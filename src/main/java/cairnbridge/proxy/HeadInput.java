package cairnbridge.proxy;

import java.io.IOException;
import java.util.Set;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The input of a head parser. Guards against heads that fill the heap while they are incomplete, or
 * as long as their exchanges are open: header lines that the proxy does not use are left out, and
 * the memory of the others is taken from a budget. Used on the reactor's thread; any thread may
 * release the memory.
 */
final class HeadInput extends FilteredInput {
    /** The limit on what is kept of one head: no used header is as long as a line may be. */
    private static final int MAX_KEPT_CHARS = 4 * HttpSettings.MAX_HEAD_LINE_BYTES;

    /** What is kept of a usual head, for which the account of a connection has room. */
    private static final int FREE_CHARS = 1024;

    /** A char takes two bytes, in an array that is up to twice as long as the line. */
    private static final int BYTES_PER_CHAR = 4;

    private final LineSelector selector;
    private final HeadMemory memory;
    private boolean startLineRead;
    private int keptChars;

    /**
     * Creates the input of one connection's heads.
     *
     * @param usedHeaders the names of the headers to keep, in lower case
     * @param memory holds the memory of the latest head
     */
    HeadInput(Set<String> usedHeaders, HeadMemory memory) {
        this.selector = new LineSelector(usedHeaders);
        this.memory = memory;
    }

    /** Begins the next head; the memory of the one before stays reserved. */
    void headComplete() {
        selector.reset();
        startLineRead = false;
        keptChars = 0;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean ended) throws IOException {
        while (input().readLine(line, ended)) {
            if (line.length() == 0) {
                return true; // Before the start line, or the end of the head.
            }
            if (isKept(line)) {
                reserve(line.length());
                return true;
            }
            line.clear();
        }
        return false;
    }

    private boolean isKept(CharArrayBuffer line) throws MessageConstraintException {
        if (startLineRead) {
            return selector.isKept(line);
        }
        startLineRead = true;
        return true;
    }

    private void reserve(int chars) throws MessageConstraintException {
        keptChars += chars;
        if (keptChars > MAX_KEPT_CHARS) {
            throw new MessageConstraintException("head is too long");
        }
        int countedChars = Math.min(chars, keptChars - FREE_CHARS);
        if (countedChars > 0 && !memory.tryReserve(countedChars * BYTES_PER_CHAR)) {
            throw new MessageConstraintException("no memory for so long a head");
        }
    }
}
