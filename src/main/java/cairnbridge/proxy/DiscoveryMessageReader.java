package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;

/**
 * Splits the body of a call to discovery into messages. A message is one JSON object, on one line
 * or indented over several: it is complete once its braces are balanced. Discovery sends no
 * heartbeat inside a message, so an empty line completes it as well. Not thread-safe.
 */
final class DiscoveryMessageReader {
    /** The length of the longest message; some 900 bytes for each of 3,200 nodes. */
    static final int MAX_MESSAGE_BYTES = 3 << 20;

    private final Consumer<ChunkedBytes> onMessage;
    private final Runnable onLine;
    private ChunkedBytes message = new ChunkedBytes();
    private int openBraces;
    private boolean quoted;
    private boolean escaped;
    private boolean lineIsBlank = true;
    private boolean messageIsBlank = true;

    /**
     * Creates a reader.
     *
     * @param onMessage called with each complete message
     * @param onLine called at the end of each line, also an empty one
     */
    DiscoveryMessageReader(Consumer<ChunkedBytes> onMessage, Runnable onLine) {
        this.onMessage = onMessage;
        this.onLine = onLine;
    }

    /**
     * Reads all bytes of the source.
     *
     * @throws IOException if a message is too long
     */
    void read(ByteBuffer source) throws IOException {
        while (source.hasRemaining()) {
            byte value = source.get();
            if (message.size() >= MAX_MESSAGE_BYTES) {
                throw new IOException("message of more than " + MAX_MESSAGE_BYTES + " bytes");
            }
            message.append(value);
            if (value == '\n') {
                endLine();
            } else {
                countBraces(value);
            }
        }
    }

    /** Ends the last line, which need not end with a line break. */
    void end() {
        if (message.size() > 0) {
            endLine();
        }
    }

    private void countBraces(byte value) {
        lineIsBlank &= Character.isWhitespace(value);
        if (escaped) {
            escaped = false;
        } else if (value == '"') {
            quoted = !quoted;
        } else if (quoted) {
            escaped = value == '\\';
        } else if (value == '{') {
            openBraces++;
        } else if (value == '}') {
            openBraces--;
        }
    }

    private void endLine() {
        onLine.run();
        messageIsBlank &= lineIsBlank;
        boolean complete = lineIsBlank || openBraces <= 0;
        lineIsBlank = true;
        quoted = false;
        escaped = false;
        if (complete) {
            completeMessage();
        }
    }

    private void completeMessage() {
        ChunkedBytes completed = message;
        boolean blank = messageIsBlank;
        message = new ChunkedBytes();
        messageIsBlank = true;
        openBraces = 0;
        if (!blank) {
            onMessage.accept(completed);
        }
    }
}
