package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;

/**
 * Asks a node how it fares, on a connection of its own; to dial and to answer it has the same time.
 */
final class HealthCheck {
    private static final int OK = 200;
    private final ConnectionReactor reactor;
    private final EventQueue eventQueue;
    private final TickClock clock;
    private final long timeoutTicks;
    private final String target;

    HealthCheck(ConnectionReactor sockets, EventQueue inbox, TickClock clock, ProxyConfig config) {
        this.reactor = sockets;
        this.eventQueue = inbox;
        this.clock = clock;
        timeoutTicks = config.network().connectTimeout();
        target = config.readsLoadReports() ? "/-/load" : "/-/healthy";
    }

    /** address is null for a node that no list has named. */
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

    private final class PendingCheck extends HttpGet {
        private final NodeId node;
        private final long startedAtTicks;
        private int statusCode;

        PendingCheck(NodeId node, InetSocketAddress address, long sent) {
            super(address, target);
            this.node = node;
            this.startedAtTicks = sent;
        }

        @Override
        void onStatus(int status) {
            statusCode = status;
        }

        @Override
        void onLine(String text) {
            // The form of reports is not told yet: the module is given none.
        }

        @Override
        void onEnd(AttemptOutcome how) {
            AttemptOutcome ending =
                    how == AttemptOutcome.SUCCESS && statusCode != OK ? AttemptOutcome.ERROR : how;
            eventQueue.post(
                    new ProxyEvent.HealthCheckCompleted(
                            node, ending, clock.now() - startedAtTicks));
            connection.close();
        }
    }
}
