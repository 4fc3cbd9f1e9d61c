package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * Handles the I/O events of one connection to a server: parses responses, and closes the connection
 * if bytes arrive while no request is open. The HTTP library calls it on the reactor thread.
 */
final class UpstreamIoHandler extends ClientHttp1IOEventHandler {
    private static final long NOT_READABLE = -1;

    private final UpstreamConnection connection;

    private final HeadMemory headMemory;

    /**
     * Creates the handler of a connection that has just been established.
     *
     * @param headMemory holds the memory of the latest response head
     */
    UpstreamIoHandler(
            ProtocolIOSession session, UpstreamConnection connection, HeadMemory headMemory) {
        super(
                new UpstreamDuplexer(
                        new UpstreamSession(session, connection),
                        new ResponseHeadParser(connection::isAwaitingResponse, headMemory)));
        this.connection = connection;
        this.headMemory = headMemory;
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (connection.isAwaitingResponse()) {
            super.inputReady(session, source);
            ReadLoop.readWhileProgressing(
                    () -> super.inputReady(session, null), this::streamedBytesIfReadable);
            releaseHeadIfComplete();
        } else {
            // Guards against unsolicited bytes on an idle connection, which the next request would
            // read as its response. The end of the stream is reported here as well.
            session.close(CloseMode.IMMEDIATE);
        }
    }

    private void releaseHeadIfComplete() {
        if (!connection.isAwaitingResponse()) {
            headMemory.release();
        }
    }

    private long streamedBytesIfReadable() {
        return connection.isAwaitingResponse()
                ? connection.latestExchange().streamedBytesIfReadable()
                : NOT_READABLE;
    }

    @Override
    public void disconnected(IOSession session) {
        super.disconnected(session);
        headMemory.close();
        connection.handleClosed();
    }
}
