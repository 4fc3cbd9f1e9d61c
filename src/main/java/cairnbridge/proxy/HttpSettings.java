package cairnbridge.proxy;

import java.util.Set;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.protocol.DefaultHttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.ResponseConnControl;
import org.apache.hc.core5.http.protocol.ResponseContent;

/**
 * The HTTP/1.1 settings of all connections, to clients and to servers. They are immutable and may
 * be used by any thread.
 */
public final class HttpSettings {
    /**
     * Also the part of a body that is read before more is granted. Guards against a window for each
     * connection that no budget counts.
     */
    private static final int BUFFER_BYTES = 4096;

    /** The limit on one line of a message head; no valid message has a longer line. */
    static final int MAX_HEAD_LINE_BYTES = 4096;

    /** The limit on the headers of a message; no valid message has more. */
    static final int MAX_HEADERS = 40;

    /** The buffer sizes and the limits on the head of a message. */
    public static final Http1Config CONFIG =
            Http1Config.custom()
                    .setBufferSize(BUFFER_BYTES)
                    .setChunkSizeHint(BUFFER_BYTES)
                    .setInitialWindowSize(BUFFER_BYTES)
                    .setMaxLineLength(MAX_HEAD_LINE_BYTES)
                    .setMaxHeaderCount(MAX_HEADERS)
                    .build();

    /** The headers of requests that the proxy or the library uses, in lower case. */
    static final Set<String> USED_REQUEST_HEADERS =
            Set.of(
                    "connection",
                    "content-length",
                    "expect",
                    "idempotency-key",
                    "transfer-encoding",
                    "x-expires-in",
                    "x-second-try",
                    "x-trace-id");

    /** The headers of responses that the proxy or the library uses, in lower case. */
    static final Set<String> USED_RESPONSE_HEADERS =
            Set.of("connection", "content-length", "transfer-encoding", "x-never-ran", "x-store");

    /** Adds the headers that requests to servers need. */
    public static final HttpProcessor REQUEST_PROCESSOR =
            new DefaultHttpProcessor(RequestContent.INSTANCE);

    /** Adds the headers that responses to clients need. */
    public static final HttpProcessor RESPONSE_PROCESSOR =
            new DefaultHttpProcessor(ResponseContent.INSTANCE, ResponseConnControl.INSTANCE);

    private HttpSettings() {}
}
