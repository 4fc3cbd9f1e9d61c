package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A connection of a client. The library goes on after a client has closed its connection; this ends
 * the request instead.
 *
 * <p>The library calls the event methods on the reactor's thread; any thread may call the methods
 * that ask for its state or close it.
 */
final class ClientConnection extends ServerHttp1IOEventHandler {
    /** A connection this long without a byte has no request on its way, as far as can be known. */
    private static final long QUIET_MILLIS = 150;

    /** The same for a connection on which no request has come yet. */
    private static final long FRESH_MILLIS = 1000;

    /** What a client may send that nobody reads, until it closes or amid its answer. */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    private static final long NOT_READING = 0;
    private static final int NOT_OVERDUE = -1;

    private final LingeringSession session;
    private final RequestHandlers requestHandlers;
    private final ClientConnections connections;

    /** When the request began that is being read. Set by the reactor and the scheduler. */
    private volatile long readingSinceNanos = NOT_READING;

    /** How many requests had begun when the connection was found overdue. */
    private volatile int createdCountAtCheck = NOT_OVERDUE;

    /** Set on the reactor's thread. */
    private volatile boolean rejected;

    ClientConnection(
            LingeringSession session,
            ServerHttp1StreamDuplexer duplexer,
            RequestHandlers requestHandlers,
            ClientConnections connections) {
        super(duplexer);
        this.session = session;
        this.requestHandlers = requestHandlers;
        this.connections = connections;
    }

    /** The latest request that has not been released, or null if there is none. */
    ClientExchange latestRequest() {
        return requestHandlers.latest();
    }

    /** Whether a request has ever begun on it. */
    boolean hasSentRequest() {
        return requestHandlers.createdCount() != 0;
    }

    /** Whether no request is being read or answered. */
    boolean isIdle() {
        return requestHandlers.isIdle();
    }

    /** The Unix time in milliseconds of the last event on it. */
    long idleSinceMillis() {
        return session.getLastEventTime();
    }

    /** The time since the last event on it, in milliseconds. */
    long idleMillis() {
        return System.currentTimeMillis() - idleSinceMillis();
    }

    /** Whether a request has begun and not come to its end. */
    boolean isReadingRequest() {
        return readingSinceNanos != NOT_READING;
    }

    /** For how long the request has been read, in nanoseconds. */
    long readingNanos(long nowNanos) {
        return nowNanos - readingSinceNanos;
    }

    /** Takes a time out of the one for which the request has been read. */
    void pauseReading(long pausedNanos) {
        long since = readingSinceNanos;
        readingSinceNanos = since + pausedNanos;
    }

    /** Whether the proxy has closed its side and waits for the client to close. */
    boolean isClosing() {
        return session.isClosing();
    }

    /** For how long the proxy has waited for the client to close, in milliseconds. */
    long lingeringMillis(long nowNanos) {
        return session.lingeringMillis(nowNanos);
    }

    /**
     * Whether it may be closed as idle. Guards against closing on a request that has come and is
     * not read, as on a fresh connection.
     */
    boolean isClosable() {
        return isQuietFor(QUIET_MILLIS);
    }

    /**
     * Whether it may be closed in standby. Guards against closing with its first request on the way
     * to a connection just made.
     */
    boolean isDueForStandbyClose() {
        return isQuietFor(hasSentRequest() ? QUIET_MILLIS : FRESH_MILLIS);
    }

    private boolean isQuietFor(long millis) {
        return isIdle() && idleMillis() >= millis;
    }

    /** Closes it after the answers that are owed. */
    void closeGracefully() {
        session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
    }

    /** Closes it at once. */
    void closeNow() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Closes it at once, as there is no descriptor for it. */
    void reject() {
        rejected = true;
        closeNow();
    }

    /** Whether it was closed because there was no descriptor for it. */
    boolean isRejected() {
        return rejected;
    }

    /** Closes what only waits for its client to close. */
    void releaseLingering() {
        if (session.isClosing()) {
            session.release();
        }
    }

    /**
     * Has the reactor's thread check again that it is overdue, and close it. Guards against a close
     * that meets a request which the reactor is just reading.
     */
    void recheckOnReactor() {
        createdCountAtCheck = requestHandlers.createdCount();
        try {
            session.setEvent(SelectionKey.OP_WRITE);
        } catch (CancelledKeyException e) {
            // Guards against the end of all checks, as one connection ends just then.
            createdCountAtCheck = NOT_OVERDUE;
        }
    }

    @Override
    public void connected(IOSession ioSession) throws IOException {
        connections.add(this);
        try {
            super.connected(ioSession);
        } finally {
            connections.enforceBudget(this);
        }
    }

    @Override
    public void outputReady(IOSession ioSession) throws IOException {
        if (closedAsOverdue()) {
            return;
        }
        if (session.isClosing()) {
            ioSession.setEventMask(SelectionKey.OP_READ);
        } else {
            super.outputReady(ioSession);
        }
    }

    /** Ends the check that {@link #recheckOnReactor} has begun; false if it is not closed now. */
    private boolean closedAsOverdue() {
        int createdAtCheck = createdCountAtCheck;
        createdCountAtCheck = NOT_OVERDUE;
        if (createdAtCheck == NOT_OVERDUE) {
            return false;
        }
        if (isIdle() && !isReadingRequest() && !session.isClosing()) {
            // The check itself is an event: only what has come since can speak against it.
            if (createdAtCheck == requestHandlers.createdCount()) {
                closeGracefully();
            }
            return false;
        }
        if (connections.isOverdue(this, System.nanoTime())) {
            closeNow();
            return true;
        }
        return false;
    }

    @Override
    public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
        if (session.isClosing()) {
            session.linger(MAX_DISCARDED_BYTES);
        } else if (hasStoppedReading()) {
            discardInput(ioSession);
        } else {
            readInput(ioSession, source);
        }
    }

    /** Whether the last request has been read; the library stops reading while answers are owed. */
    private boolean hasStoppedReading() {
        if (requestHandlers.wasPipelined()) {
            return true;
        }
        ClientExchange latest = requestHandlers.latest();
        return latest != null && latest.isRequestComplete() && !latest.isFinished() && !isOpen();
    }

    /** Guards against a client's close that is not seen because bytes lie before it. */
    private void discardInput(IOSession ioSession) throws IOException {
        if (session.discardInput() > MAX_DISCARDED_BYTES || session.hasPeerClosed()) {
            ioSession.close(CloseMode.IMMEDIATE);
        }
    }

    private void readInput(IOSession ioSession, ByteBuffer source) throws IOException {
        int createdBefore = requestHandlers.createdCount();
        super.inputReady(ioSession, source);
        ClientExchange reading = requestHandlers.latest();
        if (reading != null) {
            ReadLoop.readWhileProgressing(
                    () -> super.inputReady(ioSession, null), reading::streamedBytesIfReadable);
        }
        updateReadingSince(createdBefore);
        // Guards against requests worked on for a client that has closed its connection.
        if (session.hasPeerClosed() && !isIdle()) {
            ioSession.close(CloseMode.IMMEDIATE);
        } else if (hasStoppedReading()) {
            ioSession.setEvent(SelectionKey.OP_READ);
        }
    }

    private void updateReadingSince(int createdBefore) {
        if (!requestHandlers.isReading(createdBefore)) {
            readingSinceNanos = NOT_READING;
        } else if (!isReadingRequest()) {
            readingSinceNanos = System.nanoTime();
        }
    }

    @Override
    public void disconnected(IOSession ioSession) {
        super.disconnected(ioSession);
        connections.remove(this, session);
    }
}
