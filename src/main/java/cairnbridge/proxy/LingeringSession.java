package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * A client session with a lingering close: the output is shut down, further input is discarded, and
 * the socket is closed once the client closes its side. Guards against closing a socket with unread
 * bytes, which resets the connection and may lose the last response. A request that arrives during
 * the close is not processed: its client sees the end of the connection and sends it elsewhere.
 *
 * <p>It is read on the reactor's thread only; any thread may close it or query its state.
 */
final class LingeringSession extends ForwardingSession {
    private static final int SCRATCH_BYTES = 4096;
    private static final int MAX_READS = 16;

    /** The time after which one input event reads no more; the rest is read in the next one. */
    private static final long MAX_INPUT_EVENT_NANOS = 1_000_000;

    private static final long NOT_CLOSING = 0;
    private static final long NOT_BLOCKED = 0;

    private final Consumer<LingeringSession> onClosing;
    private volatile long closingAtNanos = NOT_CLOSING;
    private volatile boolean peerClosed;

    /**
     * Since when the socket has accepted no more output although some is left; {@link #NOT_BLOCKED}
     * if it accepts all. Written on the reactor's and the coordinator's threads.
     */
    private volatile long outputBlockedAtNanos = NOT_BLOCKED;

    /** When the present input event began. Reactor's thread only. */
    private long inputEventNanos;

    /** Whether an input event is being handled. Reactor's thread only. */
    private boolean inInputEvent;

    /** Whether the latest read has taken all input there was. Reactor's thread only. */
    private boolean drained;

    /** The number of bytes discarded so far. Reactor's thread only. */
    private long discardedBytes;

    /**
     * Wraps an open session.
     *
     * @param onClosing called with this session when its output has been shut down
     */
    LingeringSession(ProtocolIOSession session, Consumer<LingeringSession> onClosing) {
        super(session);
        this.onClosing = onClosing;
    }

    /** Closes the socket without waiting for the client any longer. */
    void release() {
        delegate().close(CloseMode.GRACEFUL);
    }

    /**
     * Closes the socket after reading what the client has sent. Guards against a reset, which
     * unread input causes and which discards what the client has not read of its response. Called
     * on the reactor's thread.
     */
    void releaseDrained() {
        try {
            discardInput();
            release();
        } catch (IOException e) {
            delegate().close(CloseMode.IMMEDIATE); // The client has reset the connection.
        }
    }

    /** Whether the output has been shut down. */
    boolean isClosing() {
        return closingAtNanos != NOT_CLOSING;
    }

    /**
     * How long the session has waited for the client to close its side, in milliseconds.
     *
     * @param nowNanos the time on the clock of {@link System#nanoTime}
     */
    long lingeringMillis(long nowNanos) {
        return isClosing() ? TimeUnit.NANOSECONDS.toMillis(nowNanos - closingAtNanos) : 0;
    }

    /**
     * Whether the client has closed its side. It is then treated as disconnected, although it might
     * still read.
     */
    boolean hasPeerClosed() {
        return peerClosed;
    }

    /**
     * Reads the available input and discards it. Called on the reactor's thread.
     *
     * @return the total number of bytes discarded so far
     * @throws IOException if the client has reset the connection
     */
    long discardInput() throws IOException {
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
        int count = 1;
        for (int i = 0; i < MAX_READS && count > 0; i++) {
            scratch.clear();
            count = readNow(scratch);
            discardedBytes += Math.max(0, count);
        }
        return discardedBytes;
    }

    /**
     * Discards all input there is. Guards against missing the client's close behind more input than
     * one call of {@link #discardInput} reads. Called on the reactor's thread.
     *
     * @return whether the client has closed its side, or has sent more than the given number of
     *     bytes to be discarded
     * @throws IOException if the client has reset the connection
     */
    boolean discardAll(long maxDiscardedBytes) throws IOException {
        long total = discardInput();
        while (!drained && total <= maxDiscardedBytes) {
            total = discardInput();
        }
        return peerClosed || total > maxDiscardedBytes;
    }

    /**
     * Handles input after the output has been shut down: closes the socket if the client has closed
     * its side, or has sent too much. Called on the reactor's thread.
     */
    void linger(long maxDiscardedBytes) {
        try {
            if (discardInput() > maxDiscardedBytes || hasPeerClosed()) {
                release();
            }
        } catch (IOException e) {
            // The client has reset the connection, so there is no response left to protect.
            delegate().close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Limits the time for which the present input event reads, until {@link #endInputEvent}. Guards
     * against clients whose input costs much more than its length, such as a body in chunks of a
     * byte, and that keep the reactor from all others. Called on the reactor's thread.
     */
    void beginInputEvent() {
        inputEventNanos = System.nanoTime();
        inInputEvent = true;
    }

    /** Ends the limit of {@link #beginInputEvent}. Called on the reactor's thread. */
    void endInputEvent() {
        inInputEvent = false;
    }

    private boolean isInputTimeUp() {
        return inInputEvent && System.nanoTime() - inputEventNanos >= MAX_INPUT_EVENT_NANOS;
    }

    /** Whether the latest read has taken all input there was. Called on the reactor's thread. */
    boolean isDrained() {
        return drained;
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        if (isInputTimeUp()) {
            drained = false;
            return 0;
        }
        return readNow(destination);
    }

    private int readNow(ByteBuffer destination) throws IOException {
        int wanted = destination.remaining();
        int count = delegate().read(destination);
        drained = count < wanted;
        if (count < 0) {
            peerClosed = true;
        }
        return count;
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        int count = delegate().write(source);
        if (!source.hasRemaining()) {
            outputBlockedAtNanos = NOT_BLOCKED;
        } else if (count > 0 || !isOutputBlocked()) {
            outputBlockedAtNanos = System.nanoTime();
        }
        return count;
    }

    /** Whether the client has not read what it was sent, so that the socket accepts no more. */
    boolean isOutputBlocked() {
        return outputBlockedAtNanos != NOT_BLOCKED;
    }

    /** For how long the socket has accepted no output, in milliseconds; 0 if it does. */
    long outputBlockedMillis(long nowNanos) {
        long since = outputBlockedAtNanos;
        return since == NOT_BLOCKED ? 0 : TimeUnit.NANOSECONDS.toMillis(nowNanos - since);
    }

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    @Override
    public void close(CloseMode mode) {
        if (mode == CloseMode.IMMEDIATE || peerClosed) {
            delegate().close(mode);
        } else if (!isClosing() && delegate().isOpen()) {
            shutDownOutput(mode);
        }
    }

    private void shutDownOutput(CloseMode mode) {
        try {
            ((SocketChannel) delegate().channel()).shutdownOutput();
            closingAtNanos = System.nanoTime();
            setEventMask(SelectionKey.OP_READ);
            onClosing.accept(this);
        } catch (IOException e) {
            delegate().close(mode);
        }
    }

    @Override
    public boolean isOpen() {
        return !isClosing() && delegate().isOpen();
    }

    @Override
    public Status getStatus() {
        return isClosing() ? Status.CLOSING : delegate().getStatus();
    }
}
