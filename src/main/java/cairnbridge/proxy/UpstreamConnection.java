package cairnbridge.proxy;

import cairnbridge.decision.Ids.NodeId;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.command.RequestExecutionCommand;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * A connection that the proxy opens to a server, from the connect to the close. It carries one
 * exchange at a time.
 */
final class UpstreamConnection implements FutureCallback<IOSession> {
    final InetSocketAddress address;
    private final ConnectionReactor reactor;
    private final Timeout socketTimeout;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile IOSession session;
    private volatile Future<IOSession> pendingConnect;
    private volatile boolean closeRequested;

    /** Whether a request was sent and its response is incomplete. Used by the reactor thread. */
    private boolean awaitingResponse;

    /** Waits for the connect; null from then on. Used only by the thread that ends the connect. */
    private UpstreamExchange firstExchange;

    /** The exchange whose response is awaited, else null. Used only by the reactor thread. */
    private UpstreamExchange latestExchange;

    /** The node to pool the connection for, else null. Used only by the coordinator thread. */
    NodeId node;

    /** Whether the connection was taken from the pool. Written only by the coordinator thread. */
    boolean reused;

    /** When the connection was last put into the pool. Used only by the coordinator thread. */
    long idleSinceTicks;

    /**
     * Creates a connection that is not established yet.
     *
     * @param socketTimeout how long the server may be silent before the connection fails
     * @param firstExchange is sent once the connection is established, and fails if it never is
     */
    UpstreamConnection(
            InetSocketAddress address,
            ConnectionReactor reactor,
            Timeout socketTimeout,
            UpstreamExchange firstExchange) {
        this.address = address;
        this.reactor = reactor;
        this.socketTimeout = socketTimeout;
        this.firstExchange = firstExchange;
        firstExchange.connection = this;
    }

    /** Sets the connect that is in progress, which {@link #close} cancels. */
    void setPendingConnect(Future<IOSession> future) {
        pendingConnect = future;
    }

    /** Whether the connection is established and neither side has closed it. */
    boolean isOpen() {
        IOSession current = session;
        return !closeRequested && current != null && current.isOpen();
    }

    /**
     * Guards against a request on a stale connection: one that the server has closed, or on which
     * it has sent bytes after the end of a response.
     */
    void startRequest(UpstreamExchange exchange) throws IOException {
        if (session.read(ByteBuffer.allocate(1)) != 0) {
            throw new IOException("connection is stale");
        }
        awaitingResponse = true;
        latestExchange = exchange;
    }

    /** The exchange whose response is awaited; null if there is none. */
    UpstreamExchange latestExchange() {
        return latestExchange;
    }

    /**
     * Records that the response has been read completely; called on the reactor thread. Guards
     * against keeping the bodies of an exchange in memory while its connection is idle.
     */
    void completeResponse() {
        awaitingResponse = false;
        latestExchange = null;
    }

    /** Whether a request was sent and its response is incomplete; for the reactor thread. */
    boolean isAwaitingResponse() {
        return awaitingResponse;
    }

    /** Sends an exchange on the connection, which must be established and idle. */
    void send(UpstreamExchange exchange) {
        exchange.connection = this;
        session.enqueue(
                new RequestExecutionCommand(exchange, HttpCoreContext.create()),
                Command.Priority.NORMAL);
    }

    /** Closes the connection at once, or cancels the connect if it is still in progress. */
    void close() {
        closeRequested = true;
        IOSession current = session;
        Future<IOSession> connect = pendingConnect;
        if (current != null) {
            current.close(CloseMode.IMMEDIATE);
        } else if (connect != null) {
            connect.cancel(true);
        }
    }

    @Override
    public void completed(IOSession established) {
        session = established;
        established.setSocketTimeout(socketTimeout);
        UpstreamExchange first = takeFirstExchange();
        if (closeRequested) {
            first.failed(new IOException("closed while connecting"));
            established.close(CloseMode.IMMEDIATE);
        } else {
            send(first);
        }
    }

    @Override
    public void failed(Exception cause) {
        handleClosed();
        takeFirstExchange().failed(cause);
    }

    private UpstreamExchange takeFirstExchange() {
        UpstreamExchange first = firstExchange;
        firstExchange = null;
        return first;
    }

    @Override
    public void cancelled() {
        failed(new IOException("connect was cancelled"));
    }

    /** Tells the reactor that the socket is closed, whichever side closed it; does so only once. */
    void handleClosed() {
        if (closed.compareAndSet(false, true)) {
            reactor.connectionClosed(this, session != null);
        }
    }
}
