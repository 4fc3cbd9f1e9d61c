package cairnbridge.proxy;

import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.HandlerFactory;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;

/**
 * Creates the handlers of a client connection's requests and knows the latest of them. It is
 * changed on the reactor's thread; any thread may ask for the latest and the count.
 */
final class RequestHandlers implements HandlerFactory<AsyncServerExchangeHandler> {
    private final IOSession session;
    private final RequestHandlerFactory factory;
    private volatile ClientExchange latest;
    private volatile int createdCount;

    /** Reactor's thread only. */
    private boolean pipelined;

    /** No requests yet; a request may abort the session. */
    RequestHandlers(IOSession session, RequestHandlerFactory factory) {
        this.session = session;
        this.factory = factory;
    }

    @Override
    public AsyncServerExchangeHandler create(HttpRequest request, HttpContext context) {
        int createdBefore = createdCount;
        createdCount = createdBefore + 1;
        latest = factory.create(this::handleReleased, () -> session.close(CloseMode.IMMEDIATE));
        return latest;
    }

    /** Guards against bodies kept in memory for as long as a connection is idle. */
    private void handleReleased(ClientExchange released) {
        if (latest == released && !released.isLastOnConnection()) {
            latest = null;
        }
    }

    /** The latest request that has not been released, or null if there is none. */
    ClientExchange latest() {
        return latest;
    }

    /** How many requests have begun. */
    int createdCount() {
        return createdCount;
    }

    /**
     * Whether no request is owed an answer; one whose head has not been read yet does not count.
     */
    boolean isIdle() {
        ClientExchange current = latest;
        return current == null || current.isFinished();
    }

    /**
     * Whether a request has begun whose last byte has not come; its head alone counts, too.
     *
     * @param createdBefore how many requests had begun before the last read
     */
    boolean isReading(int createdBefore) {
        ClientExchange current = latest;
        if (current == null || current.isFinished()) {
            return createdCount == createdBefore;
        }
        return !current.isRequestComplete();
    }

    /**
     * Whether bytes that have come are sent before the answer to the request before them; from then
     * on nothing is read as a request. Called on the reactor's thread, as the bytes are parsed.
     */
    boolean checkPipelined() {
        ClientExchange current = latest;
        boolean busy = current != null && (!current.isAnswered() || current.isLastOnConnection());
        if (busy) {
            pipelined = true;
        }
        return busy;
    }

    /** Whether a request was sent before the one before it was answered. Reactor's thread only. */
    boolean wasPipelined() {
        return pipelined;
    }
}
