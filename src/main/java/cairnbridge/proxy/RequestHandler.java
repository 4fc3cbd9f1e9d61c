package cairnbridge.proxy;

import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;

/** One request of a client and its answer, as the reactor looks after it. */
interface RequestHandler extends AsyncServerExchangeHandler {
    /** Whether the request has been read to its end. */
    boolean isRequestComplete();

    /** Whether nothing is owed any more. */
    boolean isFinished();

    /** Whether the answer closes the connection. */
    boolean isLastOnConnection();

    /** Whether reading pauses, as the body that passes through waits for its taker. */
    boolean isBackpressured();

    /** Whether a body that passes through has stood still for too long. */
    boolean isStalled(long nowNanos);

    /** The bytes of the request's body so far. */
    long receivedBytes();

    /** The client's name for the request, for the log. */
    String traceId();
}
