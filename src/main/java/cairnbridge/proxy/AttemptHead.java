package cairnbridge.proxy;

import org.apache.hc.core5.http.message.BasicHttpRequest;

/** Creates the head of an attempt from the request of a client. Stateless and thread-safe. */
final class AttemptHead {
    private static final long MICROS_PER_TICK = 1000 / TickClock.TICKS_PER_MILLI;

    private AttemptHead() {}

    /**
     * Creates the head without the headers that describe the body.
     *
     * @param host the host name or address of the server
     * @param remainingTicks how long the proxy waits for the response
     */
    static BasicHttpRequest of(ClientExchange exchange, String host, long remainingTicks) {
        BasicHttpRequest head = new BasicHttpRequest(exchange.method, exchange.target);
        head.addHeader("Host", host);
        head.addHeader(ClientExchange.TRACE_ID_HEADER, exchange.traceId);
        head.addHeader(ClientExchange.TTL_HEADER, remainingTicks * MICROS_PER_TICK + "u");
        if (exchange.idempotencyKey != null) {
            head.addHeader(ClientExchange.IDEMPOTENCY_KEY_HEADER, exchange.idempotencyKey);
        }
        return head;
    }
}
