package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * The session of a connection to a server. All bytes of a request pass through {@link #write}, some
 * of them long after they were handed to the HTTP library. Used on the reactor's thread; any thread
 * may close it or query its state.
 */
final class UpstreamSession extends ForwardingSession {
    private final UpstreamConnection connection;

    /** Wraps the session of an established connection. */
    UpstreamSession(ProtocolIOSession session, UpstreamConnection connection) {
        super(session);
        this.connection = connection;
    }

    @Override
    public int read(ByteBuffer destination) throws IOException {
        return delegate().read(destination);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        UpstreamExchange exchange = connection.latestExchange();
        return exchange == null ? delegate().write(source) : exchange.write(source, delegate());
    }

    @Override
    public void close() {
        delegate().close();
    }

    @Override
    public void close(CloseMode mode) {
        delegate().close(mode);
    }

    @Override
    public boolean isOpen() {
        return delegate().isOpen();
    }

    @Override
    public Status getStatus() {
        return delegate().getStatus();
    }
}
