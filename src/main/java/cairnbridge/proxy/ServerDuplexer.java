package cairnbridge.proxy;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriter;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** The HTTP/1.1 messages of one client connection; used on the reactor's thread. */
final class ServerDuplexer extends ServerHttp1StreamDuplexer {
    private static final String SCHEME = "http";

    private final ChunkInput chunkInput = new ChunkInput();

    /** Creates the duplexer of a connection whose requests the given handlers answer. */
    ServerDuplexer(
            ProtocolIOSession session, RequestHandlers requestHandlers, RequestHeadParser parser) {
        super(
                session,
                HttpSettings.RESPONSE_PROCESSOR,
                requestHandlers,
                SCHEME,
                HttpSettings.CONFIG,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                parser,
                new DefaultHttpResponseWriter<>(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
                null,
                null);
    }

    @Override
    protected ContentDecoder createContentDecoder(
            long length,
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics)
            throws HttpException {
        return super.createContentDecoder(length, channel, chunkInput.over(buffer), metrics);
    }
}
