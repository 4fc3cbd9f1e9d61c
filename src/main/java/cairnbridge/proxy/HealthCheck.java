package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;

/**
 * Checks the health of nodes by HTTP GET requests, each on a new connection. The configured connect
 * timeout applies to the connect, and again to each wait for bytes of the response.
 */
final class HealthCheck {
    private static final int OK = 200;
    private final ConnectionReactor reactor;
    private final EventQueue eventQueue;
    private final TickClock clock;
    private final long timeoutTicks;
    private final String target;

    HealthCheck(
            ConnectionReactor reactor, EventQueue eventQueue, TickClock clock, ProxyConfig config) {
        this.reactor = reactor;
        this.eventQueue = eventQueue;
        this.clock = clock;
        timeoutTicks = config.network().connectTimeout();
        target = config.readsLoadReports() ? "/-/load" : "/-/healthy";
    }

    /**
     * Starts a health check of a node. The check fails at once if the address is unknown, or if the
     * descriptor budget leaves no room for another connection to a server.
     *
     * @param address null for a node that is not in the endpoint list
     */
    void start(NodeId node, InetSocketAddress address) {
        if (address == null || reactor.isUpstreamFull()) {
            eventQueue.post(
                    new ProxyEvent.HealthCheckCompleted(node, AttemptOutcome.CONNECT_FAILED, 0));
        } else {
            reactor.connect(
                    address,
                    timeoutTicks,
                    timeoutTicks,
                    new PendingCheck(node, address, clock.now()));
        }
    }

    private final class PendingCheck extends InternalRequest {
        private final NodeId node;
        private final long startedAtTicks;
        private int statusCode;

        PendingCheck(NodeId node, InetSocketAddress address, long startedAtTicks) {
            super(address, target);
            this.node = node;
            this.startedAtTicks = startedAtTicks;
        }

        @Override
        void onStatus(int status) {
            statusCode = status;
        }

        @Override
        void onEnd(AttemptOutcome outcome) {
            AttemptOutcome checkOutcome =
                    outcome == AttemptOutcome.SUCCESS && statusCode != OK
                            ? AttemptOutcome.ERROR
                            : outcome;
            eventQueue.post(
                    new ProxyEvent.HealthCheckCompleted(
                            node, checkOutcome, clock.now() - startedAtTicks));
            connection.close();
        }
    }
}
