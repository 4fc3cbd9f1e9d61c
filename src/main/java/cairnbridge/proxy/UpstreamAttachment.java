package cairnbridge.proxy;

import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Forwards the reactor's events for a connection to a server to its {@link UpstreamConnection}. */
final class UpstreamAttachment implements ConnectionAttachment {
    private final UpstreamConnection connection;
    private final MemoryBudget responseHeads;

    /**
     * Creates the attachment of a connection that is not established yet.
     *
     * @param responseHeads the budget for the heads of its responses
     */
    UpstreamAttachment(UpstreamConnection connection, MemoryBudget responseHeads) {
        this.connection = connection;
        this.responseHeads = responseHeads;
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session) {
        return new UpstreamIoHandler(session, connection, new HeadMemory(responseHeads));
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
