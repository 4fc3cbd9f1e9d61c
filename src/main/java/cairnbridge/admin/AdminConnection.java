package cairnbridge.admin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A connection to the administration endpoint: reads one request line, writes the answer and closes
 * the connection. All methods run on the endpoint's thread, but the answer may be set by another.
 */
final class AdminConnection {
    private static final Logger LOG = Logger.getLogger(AdminConnection.class.getName());
    private static final Charset CHARSET = StandardCharsets.ISO_8859_1;
    private static final int MAX_LINE_BYTES = 512;
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final SocketChannel channel;
    private final AdminCommands commands;
    private final Consumer<AdminConnection> onAsyncAnswer;
    private final Consumer<AdminConnection> onClose;
    private final ByteBuffer line = ByteBuffer.allocate(MAX_LINE_BYTES);
    private final long openedAt = System.nanoTime();
    private SelectionKey key;
    private boolean requestRead;
    private volatile ByteBuffer answer;

    /**
     * Creates the handler of an accepted connection.
     *
     * @param onAsyncAnswer called on any thread when the answer of an asynchronous command is set
     * @param onClose called before the channel is closed
     */
    AdminConnection(
            SocketChannel channel,
            AdminCommands commands,
            Consumer<AdminConnection> onAsyncAnswer,
            Consumer<AdminConnection> onClose) {
        this.channel = channel;
        this.commands = commands;
        this.onAsyncAnswer = onAsyncAnswer;
        this.onClose = onClose;
    }

    /** Registers the channel with the selector for reading. */
    void register(Selector selector) throws IOException {
        key = channel.register(selector, SelectionKey.OP_READ, this);
    }

    /** Whether the connection has been open longer than the timeout, in any state. */
    boolean isOverdue(long now) {
        return now - openedAt > TIMEOUT_NANOS;
    }

    /** Reads the request or writes the answer, as far as possible without blocking. */
    void handleReady() {
        try {
            if (!requestRead) {
                read();
            }
            if (answer != null) {
                write();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void read() throws IOException {
        int bytesRead = channel.read(line);
        boolean endOfInput = bytesRead < 0;
        String text = new String(line.array(), 0, line.position(), CHARSET);
        int end = text.indexOf('\n');
        boolean unterminatedLine = endOfInput && !text.isBlank();
        if (end >= 0 || unterminatedLine) {
            requestRead = true;
            key.interestOps(0);
            if (end >= 0 && !text.substring(end).isBlank()) {
                // Guards against executing only the first of several request lines.
                answer(AdminCommands.error("one line to a connection"));
            } else {
                execute((end < 0 ? text : text.substring(0, end)).strip());
            }
        } else if (endOfInput) {
            close();
        } else if (!line.hasRemaining()) {
            requestRead = true;
            answer(AdminCommands.error("the line is too long"));
        }
    }

    private void execute(String request) {
        CompletableFuture<String> result = commands.execute(request);
        if (result.isDone()) {
            answer(result.join());
            return;
        }
        CompletableFuture<Void> unused =
                result.thenAccept(
                        text -> {
                            answer(text);
                            onAsyncAnswer.accept(this);
                        });
    }

    private void answer(String text) {
        answer = ByteBuffer.wrap((text + "\n").getBytes(CHARSET));
    }

    private void write() throws IOException {
        channel.write(answer);
        if (answer.hasRemaining()) {
            key.interestOps(SelectionKey.OP_WRITE);
        } else {
            // Guards against a TCP reset that discards the answer: closing a socket with unread
            // input resets the connection.
            channel.read(ByteBuffer.allocate(MAX_LINE_BYTES));
            close();
        }
    }

    /** Removes the connection from the endpoint and closes the channel. */
    void close() {
        onClose.accept(this);
        try {
            channel.close();
        } catch (IOException e) {
            LOG.log(Level.FINE, "admin: a connection cannot be closed, {0}", e.toString());
        }
    }
}
