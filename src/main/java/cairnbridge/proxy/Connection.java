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
final class Connection implements FutureCallback<IOSession> {
    final InetSocketAddress address;
    private final Sockets sockets;
    private final Timeout silence;
    private final AtomicBoolean ended = new AtomicBoolean();
    private final Call first;
    private volatile IOSession session;
    private volatile Future<IOSession> dial;
    private volatile boolean unwanted;

    /** Reactor thread only: a request is out and its answer has not come to its end. */
    private boolean asked;

    private Call latest;

    /** Owner thread only: whose it is, where it is pooled, and since when nothing is out on it. */
    NodeId node;

    boolean used;
    long idleSince;

    /**
     * first is sent as soon as the connection is up, and told of its failure where it never comes
     * up.
     */
    Connection(InetSocketAddress address, Sockets sockets, Timeout silence, Call first) {
        this.address = address;
        this.sockets = sockets;
        this.silence = silence;
        this.first = first;
        first.connection = this;
    }

    void dialed(Future<IOSession> future) {
        dial = future;
    }

    boolean isOpen() {
        IOSession up = session;
        return !unwanted && up != null && up.isOpen();
    }

    /**
     * Guards against a connection that the node has closed, or on which it has said more than was
     * asked.
     */
    void begins(Call call) throws IOException {
        if (session.read(ByteBuffer.allocate(1)) != 0) {
            throw new IOException("connection is stale");
        }
        asked = true;
        latest = call;
    }

    /** The call whose answer is being read, or was last. */
    Call latest() {
        return latest;
    }

    void answered() {
        asked = false;
    }

    boolean isAsked() {
        return asked;
    }

    void send(Call call) {
        call.connection = this;
        session.enqueue(
                new RequestExecutionCommand(call, HttpCoreContext.create()),
                Command.Priority.NORMAL);
    }

    /** Closes at once; a dial still under way is given up. */
    void close() {
        unwanted = true;
        IOSession up = session;
        Future<IOSession> dialing = dial;
        if (up != null) {
            up.close(CloseMode.IMMEDIATE);
        } else if (dialing != null) {
            dialing.cancel(true);
        }
    }

    @Override
    public void completed(IOSession up) {
        session = up;
        up.setSocketTimeout(silence);
        if (unwanted) {
            first.failed(new IOException("no longer wanted"));
            up.close(CloseMode.IMMEDIATE);
        } else {
            send(first);
        }
    }

    @Override
    public void failed(Exception cause) {
        ended();
        first.failed(cause);
    }

    @Override
    public void cancelled() {
        failed(new IOException("dial given up"));
    }

    /** The socket is gone, whichever side closed it. */
    void ended() {
        if (ended.compareAndSet(false, true)) {
            sockets.closed(this, session != null);
        }
    }
}
