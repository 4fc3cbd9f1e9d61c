package cairnbridge.proxy;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;

/**
 * The event handler of one client connection. The library continues with a request after the client
 * has closed its connection; this class aborts the request instead.
 *
 * <p>The library calls the event methods on the reactor's thread; any thread may call the methods
 * that query the state or close the connection.
 */
final class ClientConnection extends ServerHttp1IOEventHandler {
    /** A connection that is idle for this long is assumed to have no request in transit. */
    private static final long MIN_IDLE_MILLIS = 150;

    /**
     * A connection without any request so far that is idle for this long is assumed to have no
     * request in transit.
     */
    private static final long FIRST_REQUEST_WAIT_MILLIS = 1000;

    /**
     * The most bytes that are discarded before the connection is closed: those that a client sends
     * during a lingering close or while a response is pending.
     */
    static final long MAX_DISCARDED_BYTES = 1 << 20;

    private static final long NOT_READING = 0;
    private static final int NOT_OVERDUE = -1;

    private final LingeringSession session;
    private final RequestHandlers requestHandlers;
    private final HeadMemory headMemory;
    private final ClientConnections connections;

    /**
     * When the request that is being read began, plus the pauses in reading. Written on the
     * reactor's and the scheduler's threads.
     */
    private volatile long readingSinceNanos = NOT_READING;

    /** When the latest event was handled, on the clock of {@link System#nanoTime}. */
    private volatile long lastEventNanos = System.nanoTime();

    /** The number of requests begun on the connection when it was found overdue. */
    private volatile int requestCountAtCheck = NOT_OVERDUE;

    /** Kept because the system no longer tells it once the connection is closed. */
    private SocketAddress remoteAddress;

    /** Whether the connection was closed for lack of descriptors. Set on the reactor's thread. */
    private volatile boolean rejected;

    ClientConnection(
            LingeringSession session,
            ServerDuplexer duplexer,
            RequestHandlers requestHandlers,
            HeadMemory headMemory,
            ClientConnections connections) {
        super(duplexer);
        this.session = session;
        this.requestHandlers = requestHandlers;
        this.headMemory = headMemory;
        this.connections = connections;
    }

    /** The latest request that has not been released, or null if there is none. */
    ClientExchange latestRequest() {
        return requestHandlers.latest();
    }

    /** Whether a request has ever begun on this connection. */
    boolean hasSentRequest() {
        return requestHandlers.requestCount() != 0;
    }

    /** Whether no request is being read or answered. */
    boolean isIdle() {
        return requestHandlers.isIdle();
    }

    /** The time since the last event on this connection, in nanoseconds. */
    long idleNanos() {
        return System.nanoTime() - lastEventNanos;
    }

    /** The time since the last event on this connection, in milliseconds. */
    long idleMillis() {
        return TimeUnit.NANOSECONDS.toMillis(idleNanos());
    }

    /** Whether a request has begun that has not been read completely. */
    boolean isReadingRequest() {
        return readingSinceNanos != NOT_READING;
    }

    /** How long the current request has been read, in nanoseconds, without pauses. */
    long readingNanos(long nowNanos) {
        return nowNanos - readingSinceNanos;
    }

    /** Excludes a pause from the time for which the current request has been read. */
    void pauseReading(long pausedNanos) {
        long since = readingSinceNanos;
        readingSinceNanos = since + pausedNanos;
    }

    /** Whether the proxy has closed its side and waits for the client to close. */
    boolean isClosing() {
        return session.isClosing();
    }

    /** For how long the client's socket has accepted no output, in milliseconds. */
    long outputBlockedMillis(long nowNanos) {
        return session.outputBlockedMillis(nowNanos);
    }

    /** How long the proxy has waited for the client to close, in milliseconds. */
    long lingeringMillis(long nowNanos) {
        return session.lingeringMillis(nowNanos);
    }

    /**
     * Whether the connection may be closed as idle. Guards against closing a connection, such as a
     * new one, on which a request has arrived that has not been read.
     */
    boolean isClosable() {
        return isIdleFor(MIN_IDLE_MILLIS);
    }

    /**
     * Whether the connection may be closed in standby. Guards against closing a new connection
     * while its first request is in transit.
     */
    boolean isDueForStandbyClose() {
        return isIdleFor(hasSentRequest() ? MIN_IDLE_MILLIS : FIRST_REQUEST_WAIT_MILLIS);
    }

    private boolean isIdleFor(long millis) {
        return isIdle() && idleMillis() >= millis;
    }

    /** Closes the connection after the pending response. */
    void closeGracefully() {
        session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
    }

    /** Closes the connection at once. */
    void closeNow() {
        session.close(CloseMode.IMMEDIATE);
    }

    /** Closes the connection at once because no descriptor is free for it. */
    void reject() {
        rejected = true;
        closeNow();
    }

    /** Whether the connection was closed because no descriptor was free for it. */
    boolean isRejected() {
        return rejected;
    }

    /**
     * Closes the socket if no request is open on the connection. The system still delivers what the
     * client has not read.
     */
    void releaseIfIdle() {
        if (session.isClosing() || isIdle()) {
            session.release();
        }
    }

    /**
     * Makes the reactor's thread check again whether the connection is overdue, and close it if so.
     * Guards against closing the connection while the reactor is reading a request from it.
     */
    void recheckOnReactor() {
        requestCountAtCheck = requestHandlers.requestCount();
        try {
            session.setEvent(SelectionKey.OP_WRITE);
        } catch (CancelledKeyException e) {
            // Guards against an exception that ends the checks of all connections when this one is
            // closed concurrently.
            requestCountAtCheck = NOT_OVERDUE;
        }
    }

    @Override
    public void connected(IOSession ioSession) throws IOException {
        remoteAddress = ioSession.getRemoteAddress();
        connections.add(this);
        try {
            super.connected(ioSession);
        } finally {
            connections.enforceBudget(this);
        }
    }

    @Override
    public void outputReady(IOSession ioSession) throws IOException {
        lastEventNanos = System.nanoTime();
        if (closeIfStillOverdue()) {
            return;
        }
        if (session.isClosing()) {
            ioSession.setEventMask(SelectionKey.OP_READ);
        } else {
            super.outputReady(ioSession);
        }
    }

    /**
     * Completes the check that {@link #recheckOnReactor} has begun; true if the connection was
     * closed at once.
     */
    private boolean closeIfStillOverdue() {
        int countAtCheck = requestCountAtCheck;
        requestCountAtCheck = NOT_OVERDUE;
        if (countAtCheck == NOT_OVERDUE) {
            return false;
        }
        boolean overdue = connections.isOverdue(this, System.nanoTime());
        if (isIdle() && !isReadingRequest() && !session.isClosing() && !session.isOutputBlocked()) {
            // The check itself counts as an event, so the idle time is no longer known: the
            // connection is kept only if a request has begun since.
            if (countAtCheck == requestHandlers.requestCount()) {
                closeGracefully();
            }
            return false;
        }
        if (!overdue) {
            return false;
        }
        if (session.isClosing()) {
            session.releaseDrained();
        } else {
            closeNow();
        }
        return true;
    }

    @Override
    public void inputReady(IOSession ioSession, ByteBuffer source) throws IOException {
        lastEventNanos = System.nanoTime();
        if (session.isClosing()) {
            session.linger(MAX_DISCARDED_BYTES);
        } else if (hasStoppedReading()) {
            discardInput(ioSession);
        } else {
            session.beginInputEvent();
            try {
                readInput(ioSession, source);
            } finally {
                session.endInputEvent();
            }
        }
    }

    /**
     * Whether the last request of the connection has been read: the library does not read while the
     * response to it is pending.
     */
    private boolean hasStoppedReading() {
        if (requestHandlers.wasPipelined()) {
            return true;
        }
        ClientExchange latest = requestHandlers.latest();
        return latest != null && latest.isRequestComplete() && !latest.isFinished() && !isOpen();
    }

    /** Guards against missing the client's close because unread bytes precede it. */
    private void discardInput(IOSession ioSession) throws IOException {
        if (session.discardInput() > MAX_DISCARDED_BYTES || session.hasPeerClosed()) {
            ioSession.close(CloseMode.IMMEDIATE);
        }
    }

    private void readInput(IOSession ioSession, ByteBuffer source) throws IOException {
        int countBefore = requestHandlers.requestCount();
        ClientExchange latest = requestHandlers.latest();
        if (latest != null) {
            latest.inputBegins();
        }
        super.inputReady(ioSession, source);
        ClientExchange reading = requestHandlers.latest();
        if (reading != null) {
            ReadLoop.readWhileProgressing(
                    () -> super.inputReady(ioSession, null), reading::streamedBytesIfReadable);
            if (session.isDrained()) {
                reading.inputDrained();
            }
        }
        updateReadingSince(countBefore);
        // Guards against processing a request whose client has closed its connection.
        if (session.hasPeerClosed() && !isIdle()) {
            ioSession.close(CloseMode.IMMEDIATE);
        } else if (hasStoppedReading()) {
            ioSession.setEvent(SelectionKey.OP_READ);
        }
    }

    private void updateReadingSince(int countBefore) {
        if (!requestHandlers.isReading(countBefore)) {
            readingSinceNanos = NOT_READING;
        } else if (!isReadingRequest()) {
            readingSinceNanos = System.nanoTime();
        }
    }

    private String closeReason() {
        if (rejected) {
            return "no descriptor is free";
        } else if (session.hasPeerClosed()) {
            return "the client had closed";
        }
        return isIdle() ? "no request is open" : "a request is open";
    }

    @Override
    public void disconnected(IOSession ioSession) {
        RequestTrace.connectionClosed(remoteAddress, closeReason());
        super.disconnected(ioSession);
        headMemory.close();
        connections.remove(this, session);
    }
}
