package cairnbridge.proxy;

import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;

/** One request of a client and its response, as far as the client connection uses them. */
interface RequestHandler extends AsyncServerExchangeHandler {
    /** Whether the last byte of the request has been read. */
    boolean isRequestComplete();

    /** Whether the response is written completely, or the client has disconnected. */
    boolean isFinished();

    /** Whether the connection is closed after the response. */
    boolean isLastOnConnection();

    /** Whether reading is paused because the consumer of the streamed body is slower. */
    boolean isBackpressured();

    /** Whether a streamed body, of the request or the response, has stalled for too long. */
    boolean isStalled(long nowNanos);

    /** The number of bytes of the request body received so far. */
    long receivedBytes();

    /** The client's id of the request, for log messages. */
    String traceId();
}
