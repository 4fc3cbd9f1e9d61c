package cairnbridge.proxy;

import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;

/**
 * For how long the proxy waits for a client: to send a request, to take up its answer, to send the
 * next request and to close its connection. Called on the scheduler's thread and on the reactor's.
 */
final class ClientTimeouts {
    private static final Logger LOG = Logger.getLogger(ClientTimeouts.class.getName());

    /** To send one request, but for a long body, or for the first one to begin. */
    private static final long REQUEST_READ_MILLIS = 2200;

    /** For the next request to begin. */
    private static final long KEEP_ALIVE_MILLIS = 5000;

    /** For a client to close its side once the proxy has closed its own. */
    private static final long LINGER_MILLIS = 2000;

    private ClientTimeouts() {}

    /**
     * Whether a connection is to be closed. Guards against clients that connect and send nothing,
     * or never come to the end of what they send. While the proxy takes nothing of a body the
     * client's time does not run.
     *
     * @param nowNanos the time on the clock of {@link System#nanoTime}
     * @param lastCheckNanos the time of the last check of all connections on the same clock
     */
    static boolean isOverdue(ClientConnection client, long nowNanos, long lastCheckNanos) {
        if (client.isClosing()) {
            return client.lingeringMillis(nowNanos) >= LINGER_MILLIS;
        }
        ClientExchange latest = client.latestRequest();
        if (latest != null && latest.isStalled(nowNanos)) {
            LOG.info("what passes through stands still: " + latest.traceId + " is cut");
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
