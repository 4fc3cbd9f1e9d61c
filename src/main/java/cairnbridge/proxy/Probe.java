package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;

/**
 * Asks a node how it fares, on a connection of its own; to dial and to answer it has the same time.
 */
final class Probe {
    private static final int OK = 200;
    private final Sockets sockets;
    private final Inbox inbox;
    private final Clock clock;
    private final long timeOut;
    private final String target;

    Probe(Sockets sockets, Inbox inbox, Clock clock, ProxyConfig config) {
        this.sockets = sockets;
        this.inbox = inbox;
        this.clock = clock;
        timeOut = config.network().connectTimeout();
        target = config.readsLoadReports() ? "/-/load" : "/-/healthy";
    }

    /** address is null for a node that no list has named. */
    void start(NodeId node, InetSocketAddress address) {
        if (address == null || sockets.isFull()) {
            inbox.post(new Notice.Probed(node, AttemptOutcome.CONNECT_FAILED, 0));
        } else {
            sockets.dial(address, timeOut, timeOut, new Asked(node, address, clock.now()));
        }
    }

    private final class Asked extends Get {
        private final NodeId node;
        private final long sent;
        private int code;

        Asked(NodeId node, InetSocketAddress address, long sent) {
            super(address, target);
            this.node = node;
            this.sent = sent;
        }

        @Override
        void begun(int status) {
            code = status;
        }

        @Override
        void line(String text) {
            // The form of reports is not told yet: the module is given none.
        }

        @Override
        void over(AttemptOutcome how) {
            AttemptOutcome ending =
                    how == AttemptOutcome.SUCCESS && code != OK ? AttemptOutcome.ERROR : how;
            inbox.post(new Notice.Probed(node, ending, clock.now() - sent));
            connection.close();
        }
    }
}
