package cairnbridge.proxy;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriter;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** The HTTP/1.1 messages of one connection to a server; used on the reactor's thread. */
final class UpstreamDuplexer extends ClientHttp1StreamDuplexer {
    private final ChunkInput chunkInput = new ChunkInput();

    /** Creates the duplexer of a connection that is established. */
    UpstreamDuplexer(ProtocolIOSession session, ResponseHeadParser parser) {
        super(
                session,
                HttpSettings.REQUEST_PROCESSOR,
                HttpSettings.CONFIG,
                CharCodingConfig.DEFAULT,
                DefaultConnectionReuseStrategy.INSTANCE,
                parser,
                new DefaultHttpRequestWriter<>(),
                DefaultContentLengthStrategy.INSTANCE,
                DefaultContentLengthStrategy.INSTANCE,
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
