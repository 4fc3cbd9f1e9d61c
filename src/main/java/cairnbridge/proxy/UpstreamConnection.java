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
 * One connection that the proxy opens, from the dial to its end; carries one exchange at a time.
 */
final class UpstreamConnection implements FutureCallback<IOSession> {
    final InetSocketAddress address;
    private final ConnectionReactor reactor;
    private final Timeout socketTimeout;
    private final AtomicBoolean closed = new AtomicBoolean();
    private final UpstreamExchange firstExchange;
    private volatile IOSession session;
    private volatile Future<IOSession> pendingConnect;
    private volatile boolean closeRequested;

    /** Reactor thread only: a request is out and its answer has not come to its end. */
    private boolean awaitingResponse;

    private UpstreamExchange latestExchange;

    /** Owner thread only: whose it is, where it is pooled, and since when nothing is out on it. */
    NodeId node;

    boolean reused;
    long idleSinceTicks;

    /**
     * first is sent as soon as the connection is up, and told of its failure where it never comes
     * up.
     */
    UpstreamConnection(
            InetSocketAddress address,
            ConnectionReactor sockets,
            Timeout silence,
            UpstreamExchange first) {
        this.address = address;
        this.reactor = sockets;
        this.socketTimeout = silence;
        this.firstExchange = first;
        first.connection = this;
    }

    void setPendingConnect(Future<IOSession> future) {
        pendingConnect = future;
    }

    boolean isOpen() {
        IOSession up = session;
        return !closeRequested && up != null && up.isOpen();
    }

    /**
     * Guards against a connection that the node has closed, or on which it has said more than was
     * asked.
     */
    void startRequest(UpstreamExchange call) throws IOException {
        if (session.read(ByteBuffer.allocate(1)) != 0) {
            throw new IOException("connection is stale");
        }
        awaitingResponse = true;
        latestExchange = call;
    }

    /** The call whose answer is being read, or was last. */
    UpstreamExchange latestExchange() {
        return latestExchange;
    }

    void completeResponse() {
        awaitingResponse = false;
    }

    boolean isAwaitingResponse() {
        return awaitingResponse;
    }

    void send(UpstreamExchange call) {
        call.connection = this;
        session.enqueue(
                new RequestExecutionCommand(call, HttpCoreContext.create()),
                Command.Priority.NORMAL);
    }

    /** Closes at once; a dial still under way is given up. */
    void close() {
        closeRequested = true;
        IOSession up = session;
        Future<IOSession> dialing = pendingConnect;
        if (up != null) {
            up.close(CloseMode.IMMEDIATE);
        } else if (dialing != null) {
            dialing.cancel(true);
        }
    }

    @Override
    public void completed(IOSession up) {
        session = up;
        up.setSocketTimeout(socketTimeout);
        if (closeRequested) {
            firstExchange.failed(new IOException("no longer wanted"));
            up.close(CloseMode.IMMEDIATE);
        } else {
            send(firstExchange);
        }
    }

    @Override
    public void failed(Exception cause) {
        handleClosed();
        firstExchange.failed(cause);
    }

    @Override
    public void cancelled() {
        failed(new IOException("dial given up"));
    }

    /** The socket is gone, whichever side closed it. */
    void handleClosed() {
        if (closed.compareAndSet(false, true)) {
            reactor.connectionClosed(this, session != null);
        }
    }
}
