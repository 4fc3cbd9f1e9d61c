package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
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

    /** Creates the handler of a connection that has just been established. */
    UpstreamIoHandler(ProtocolIOSession session, UpstreamConnection connection) {
        super(createDuplexer(session, connection));
        this.connection = connection;
    }

    private static ClientHttp1StreamDuplexer createDuplexer(
            ProtocolIOSession session, UpstreamConnection connection) {
        ClientHttp1StreamDuplexerFactory factory =
                new ClientHttp1StreamDuplexerFactory(
                        HttpSettings.REQUEST_PROCESSOR,
                        HttpSettings.CONFIG,
                        null,
                        null,
                        () ->
                                new ResponseHeadParser(
                                        HttpSettings.CONFIG, connection::isAwaitingResponse),
                        null,
                        null);
        return factory.create(session);
    }

    @Override
    public void inputReady(IOSession session, ByteBuffer source) throws IOException {
        if (connection.isAwaitingResponse()) {
            super.inputReady(session, source);
            ReadLoop.readWhileProgressing(
                    () -> super.inputReady(session, null), this::streamedBytesIfReadable);
        } else {
            // Guards against unsolicited bytes on an idle connection, which the next request would
            // read as its response. The end of the stream is reported here as well.
            session.close(CloseMode.IMMEDIATE);
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
        connection.handleClosed();
    }
}
