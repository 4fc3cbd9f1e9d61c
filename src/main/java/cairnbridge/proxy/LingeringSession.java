package cairnbridge.proxy;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.concurrent.locks.Lock;
import java.util.function.Consumer;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;

/**
 * A client's session whose planned close lingers: the output is shut down, what still comes is read
 * to nowhere, and the socket goes with the client's own end. Guards against a close over unread
 * bytes: it resets the connection, and the last answer may go with it. What crosses the close is
 * not read as a request: its client sees the connection end and sends it elsewhere.
 */
final class LingeringSession implements ProtocolIOSession {
    private static final int SCRATCH_BYTES = 4096;
    private static final int MAX_READS = 16;

    private final ProtocolIOSession session;
    private final Consumer<LingeringSession> onClosing;
    private volatile long closingAtNanos;
    private volatile boolean peerClosed;
    private long discardedBytes;

    /** closing is told when the output has been shut down. */
    LingeringSession(ProtocolIOSession session, Consumer<LingeringSession> closing) {
        this.session = session;
        this.onClosing = closing;
    }

    /** Waits for the client's end no longer. */
    void release() {
        session.close(CloseMode.GRACEFUL);
    }

    /** The output has been shut down. */
    boolean isClosing() {
        return closingAtNanos != 0;
    }

    /** For how long it has been waited for the client's own end, in milliseconds. */
    long lingeringMillis(long nanoTime) {
        return isClosing() ? (nanoTime - closingAtNanos) / 1_000_000 : 0;
    }

    /**
     * The client has ended its side: by the page it has gone, whether or not it would still read.
     */
    boolean hasPeerClosed() {
        return peerClosed;
    }

    /** Reactor only. Reads what there is to nowhere; how much that has been so far. */
    long discardInput() throws IOException {
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
        int count = 1;
        for (int i = 0; i < MAX_READS && count > 0; i++) {
            scratch.clear();
            count = read(scratch);
            discardedBytes += Math.max(0, count);
        }
        return discardedBytes;
    }

    /**
     * Reactor only, once it is closing: the socket goes with the client's end, or after too much of
     * anything.
     */
    void linger(long most) {
        try {
            if (discardInput() > most || hasPeerClosed()) {
                release();
            }
        } catch (IOException e) {
            session.close(
                    CloseMode.IMMEDIATE); // The client has reset it: nothing is owed to anyone.
        }
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        int count = session.read(dst);
        peerClosed |= count < 0;
        return count;
    }

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    @Override
    public void close(CloseMode mode) {
        if (mode == CloseMode.IMMEDIATE || peerClosed) {
            session.close(mode);
        } else if (!isClosing() && session.isOpen()) {
            try {
                ((SocketChannel) session.channel()).shutdownOutput();
                closingAtNanos = System.nanoTime();
                session.setEventMask(SelectionKey.OP_READ);
                onClosing.accept(this);
            } catch (IOException e) {
                session.close(mode);
            }
        }
    }

    @Override
    public boolean isOpen() {
        return !isClosing() && session.isOpen();
    }

    @Override
    public Status getStatus() {
        return isClosing() ? Status.CLOSING : session.getStatus();
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        return session.write(src);
    }

    @Override
    public String getId() {
        return session.getId();
    }

    @Override
    public IOEventHandler getHandler() {
        return session.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        session.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return session.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        session.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return session.hasCommands();
    }

    @Override
    public Command poll() {
        return session.poll();
    }

    @Override
    public ByteChannel channel() {
        return session.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return session.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return session.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return session.getEventMask();
    }

    @Override
    public void setEventMask(int mask) {
        session.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        session.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
        session.clearEvent(op);
    }

    @Override
    public Timeout getSocketTimeout() {
        return session.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        session.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return session.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return session.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return session.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        session.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        session.updateWriteTime();
    }

    @Override
    public NamedEndpoint getInitialEndpoint() {
        return session.getInitialEndpoint();
    }

    @Override
    public TlsDetails getTlsDetails() {
        return session.getTlsDetails();
    }

    @Override
    public void startTls(
            SSLContext context,
            NamedEndpoint endpoint,
            SSLBufferMode mode,
            SSLSessionInitializer initializer,
            SSLSessionVerifier verifier,
            Timeout timeout) {
        session.startTls(context, endpoint, mode, initializer, verifier, timeout);
    }
}
