package cairnbridge.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;

/**
 * Creates the request handlers of one client connection and tracks the latest of them. Changed on
 * the reactor's thread only; any thread may read the latest handler and the count.
 */
final class RequestHandlers implements HandlerFactory<AsyncServerExchangeHandler> {
    private final LingeringSession session;
    private final RequestHandlerFactory factory;
    private final ArrivalBound arrivalBound;
    private final Runnable onReleased;
    private volatile ClientExchange latest;
    private volatile int requestCount;

    /** Whether a request was pipelined. Reactor's thread only. */
    private boolean pipelined;

    /**
     * Creates an instance for a new connection; a request may abort its session.
     *
     * @param onReleased called once the HTTP library no longer uses a request
     */
    RequestHandlers(
            LingeringSession session,
            RequestHandlerFactory factory,
            ArrivalBound arrivalBound,
            Runnable onReleased) {
        this.session = session;
        this.factory = factory;
        this.arrivalBound = arrivalBound;
        this.onReleased = onReleased;
    }

    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
        int countBefore = requestCount;
        requestCount = countBefore + 1;
        latest =
                factory.create(
                        this::handleReleased,
                        () -> session.close(CloseMode.IMMEDIATE),
                        arrivalBound,
                        this::hasClientClosed);
        return latest;
    }

    /** Guards against keeping the body of a request in memory while its connection is idle. */
    private void handleReleased(ClientExchange released) {
        onReleased.run();
        if (latest == released && !released.isLastOnConnection()) {
            latest = null;
        }
    }

    /** The latest request that has not been released, or null if there is none. */
    ClientExchange latest() {
        return latest;
    }

    /** The number of requests that have begun on the connection. */
    int requestCount() {
        return requestCount;
    }

    /**
     * Whether no request waits for its response; a request whose head is incomplete does not count.
     */
    boolean isIdle() {
        ClientExchange current = latest;
        return current == null || current.isFinished();
    }

    /**
     * Whether a request has begun whose last byte has not been read; a part of its head counts too.
     *
     * @param countBefore the number of requests that had begun before the last read
     */
    boolean isReading(int countBefore) {
        ClientExchange current = latest;
        if (current == null || current.isFinished()) {
            return requestCount == countBefore;
        }
        return !current.isRequestComplete();
    }

    /**
     * Whether received bytes belong to a pipelined request, sent before the response to the
     * previous one, or follow the last response. Once this is true, no more requests are read from
     * the connection. Called on the reactor's thread when bytes are about to be parsed.
     */
    boolean checkPipelined() {
        ClientExchange current = latest;
        boolean busy = current != null && (!current.isAnswered() || current.isLastOnConnection());
        // Guards against responses that fill the heap because their client does not read them.
        if (busy || session.isOutputBlocked()) {
            pipelined = true;
        }
        return pipelined;
    }

    /**
     * Records that bytes have been received behind a request that the proxy answers itself. Guards
     * against a client that sends such requests without waiting: each is answered at once, so that
     * the reactor would read the next ones without an end.
     */
    void recordPipelined() {
        pipelined = true;
    }

    /**
     * Whether the client has closed its connection, also if that has not been read yet. Discards
     * bytes that follow the request. Called on the reactor's thread while a response is pending.
     */
    private boolean hasClientClosed() {
        try {
            return session.discardAll(ClientConnection.MAX_DISCARDED_BYTES);
        } catch (IOException e) {
            return true; // The client has reset the connection.
        }
    }

    /** Whether a client has pipelined a request on this connection. Reactor's thread only. */
    boolean wasPipelined() {
        return pipelined;
    }
}
