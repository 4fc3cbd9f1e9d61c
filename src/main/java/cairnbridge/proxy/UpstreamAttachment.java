package cairnbridge.proxy;

import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Forwards the reactor's events for a connection to a server to its {@link UpstreamConnection}. */
final class UpstreamAttachment implements ConnectionAttachment {
    private final UpstreamConnection connection;

    UpstreamAttachment(UpstreamConnection connection) {
        this.connection = connection;
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session) {
        return new UpstreamIoHandler(session, connection);
    }

    @Override
    public void completed(IOSession session) {
        connection.completed(session);
    }

    @Override
    public void failed(Exception cause) {
        connection.failed(cause);
    }

    @Override
    public void cancelled() {
        connection.cancelled();
    }
}
