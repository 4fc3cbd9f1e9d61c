package cairnbridge.proxy;

import java.net.SocketAddress;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs when each request was read, written to a node, and closed, at level {@code FINE}. Times are
 * values of {@link System#nanoTime}, which all processes of a Linux machine share. Costs one check
 * of the level while that level is off. Thread-safe.
 */
final class RequestTrace {
    private static final Logger LOG = Logger.getLogger(RequestTrace.class.getName());

    private RequestTrace() {}

    /**
     * Logs that the last byte of a request was read.
     *
     * @param remainingTicks the time to the deadline that the request was given
     */
    static void requestRead(String traceId, long remainingTicks) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} request read, ticks to its deadline {1}, at {2}",
                    new Object[] {traceId, Long.toString(remainingTicks), nowText()});
        }
    }

    /**
     * Logs that the head of an attempt was created.
     *
     * @param remainingTicks the remaining time that the head states
     */
    static void attemptBegun(String traceId, long remainingTicks) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} attempt begun, states {1} ticks, at {2}",
                    new Object[] {traceId, Long.toString(remainingTicks), nowText()});
        }
    }

    /** Logs that the last byte of an attempt was given to the connection. */
    static void attemptWritten(String traceId) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} attempt written at {1}",
                    new Object[] {traceId, nowText()});
        }
    }

    /** Logs that the response of a request was started. */
    static void responseStarted(String traceId, int status) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} response {1} started at {2}",
                    new Object[] {traceId, Integer.toString(status), nowText()});
        }
    }

    /** Logs that a client connection was closed, by either side. */
    static void connectionClosed(SocketAddress remoteAddress, String reason) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace connection of {0} closed, {1}, at {2}",
                    new Object[] {remoteAddress, reason, nowText()});
        }
    }

    private static String nowText() {
        return Long.toString(System.nanoTime());
    }
}
