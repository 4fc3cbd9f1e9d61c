package cairnbridge.scale.router;

import cairnbridge.decision.Event;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.TimerId;

/**
 * Sends each request to the node that its key names, with the one timer that a router also asks
 * for. What a drive costs with it is the driver's own cost.
 */
final class FixedChoice implements Decider {
    private final Host host;
    private final int nodes;
    private long lastTimer;

    FixedChoice(Host host, int nodes) {
        this.host = host;
        this.nodes = nodes;
    }

    @Override
    public void handle(long clock, Event event) {
        if (event instanceof Event.RequestArrived arrived) {
            host.startTimer(arrived.deadline() - clock, new TimerId(++lastTimer));
            host.sendAttempt(
                    arrived.request(), new NodeId(1 + arrived.key().value() % nodes), 0, 0);
        }
    }
}
