package cairnbridge.proxy;

import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * The time limits of client connections: to send a request, to read the response, to send the next
 * request and to close the connection. Called on the scheduler's thread and on the reactor's.
 */
final class ClientTimeouts {
    private static final Logger LOG = Logger.getLogger(ClientTimeouts.class.getName());

    /**
     * The time to send one request, without the allowance for its body; also the time until the
     * first request on a connection begins.
     */
    private static final long REQUEST_READ_MILLIS = 2200;

    /** The time until the next request on a connection begins. */
    private static final long KEEP_ALIVE_MILLIS = 5000;

    /** The time for a client to close its side once the proxy has closed its own. */
    private static final long LINGER_MILLIS = 2000;

    /**
     * The time in which a client must read some of its response, also of one that is finished for
     * the proxy; the system accepts more output only once the client has read a lot.
     */
    private static final long WRITE_STALL_MILLIS = 60_000;

    private ClientTimeouts() {}

    /**
     * Whether a connection has exceeded a time limit and is to be closed. Guards against clients
     * that connect and send nothing, or never complete a request. The time in which the proxy does
     * not read a body, because of backpressure, does not count.
     *
     * @param nowNanos the time on the clock of {@link System#nanoTime}
     * @param lastCheckNanos the time of the last check of all connections on the same clock
     */
    static boolean isOverdue(ClientConnection client, long nowNanos, long lastCheckNanos) {
        if (client.isClosing()) {
            return client.lingeringMillis(nowNanos) >= LINGER_MILLIS;
        }
        if (client.outputBlockedMillis(nowNanos) >= WRITE_STALL_MILLIS) {
            return true;
        }
        ClientExchange latest = client.latestRequest();
        if (latest != null && latest.isStalled(nowNanos)) {
            LOG.info("streamed body of request " + latest.traceId + " stalled, closing connection");
            return true;
        }
        if (client.isReadingRequest()) {
            if (latest == null || !latest.isBackpressured()) {
                return client.readingNanos(nowNanos) >= readLimitNanos(latest);
            }
            client.pauseReading(nowNanos - lastCheckNanos);
        }
        return client.isIdle() && client.idleMillis() >= idleLimitMillis(client);
    }

    private static long readLimitNanos(ClientExchange request) {
        long receivedBytes = request == null ? 0 : request.receivedBytes();
        long bodyMillis = receivedBytes / ListenerState.MIN_BODY_BYTES_PER_MILLI;
        return TimeUnit.MILLISECONDS.toNanos(REQUEST_READ_MILLIS + bodyMillis);
    }

    private static long idleLimitMillis(ClientConnection client) {
        return client.hasSentRequest() ? KEEP_ALIVE_MILLIS : REQUEST_READ_MILLIS;
    }
}
