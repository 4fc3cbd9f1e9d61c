package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
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

    /** Logs that the system has accepted bytes of an attempt. */
    static void attemptBytesWritten(String traceId, NodeId node, int count) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} {1} bytes of an attempt given to {2} at {3}",
                    new Object[] {traceId, Integer.toString(count), nodeText(node), nowText()});
        }
    }

    /** Logs that a node has sent the head of a response. */
    static void responseHeadReceived(String traceId, NodeId node, int status) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} head {1} received from {2} at {3}",
                    new Object[] {traceId, Integer.toString(status), nodeText(node), nowText()});
        }
    }

    /** Logs that a response which has paused is begun at its client. */
    static void heldResponseBegun(String traceId, NodeId node) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} held response of {1} begun at {2}",
                    new Object[] {traceId, nodeText(node), nowText()});
        }
    }

    /** Logs why an attempt has ended, and how much of its response body had been received. */
    static void attemptEnded(
            String traceId, NodeId node, AttemptOutcome outcome, long receivedBytes) {
        if (LOG.isLoggable(Level.FINE)) {
            LOG.log(
                    Level.FINE,
                    "trace {0} attempt at {1} ended, {2}, {3} bytes received, at {4}",
                    new Object[] {
                        traceId, nodeText(node), outcome, Long.toString(receivedBytes), nowText()
                    });
        }
    }

    private static String nodeText(NodeId node) {
        return "node " + Long.toString(node.value());
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
