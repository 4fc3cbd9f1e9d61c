package cairnbridge.scale.router;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Router;
import cairnbridge.decision.WarmStartState;

/**
 * The home of each key: the node that a router with nothing in flight sends it to. Asked as a
 * client's repeat, which a router does not count into a key's heat, so that no key is spread.
 */
final class KeyHomes implements Host {
    private static final long TTL = RouterLoad.SECOND;
    private static final int WITH_A_PLAN = 1;

    private int pushedTo;

    private KeyHomes() {}

    /** By key, the id of its home. */
    static int[] of(RouterLoad load) {
        KeyHomes host = new KeyHomes();
        Router router =
                new Router(
                        load.settings(1),
                        load.seed(),
                        RouterLoad.START,
                        host,
                        WarmStartState.EMPTY);
        router.handle(RouterLoad.START, load.fullList());
        if (load.zones() >= WITH_A_PLAN) {
            router.handle(RouterLoad.START, RouterScale.plan(load));
        }
        int[] homes = new int[load.keys()];
        for (int key = 0; key < homes.length; key++) {
            homes[key] = host.homeOf(key, router);
        }
        return homes;
    }

    private int homeOf(int key, Router router) {
        RequestId request = new RequestId(key);
        router.handle(
                RouterLoad.START,
                new Event.RequestArrived(
                        request,
                        new CategoryId(0),
                        new TenantId(0),
                        new KeyId(key),
                        RouterLoad.START + TTL,
                        0,
                        -1,
                        true,
                        false));
        router.handle(
                RouterLoad.START,
                new Event.AttemptEnded(
                        request,
                        0,
                        new NodeId(pushedTo),
                        AttemptOutcome.SUCCESS,
                        1,
                        1,
                        true,
                        null));
        return pushedTo;
    }

    @Override
    public void sendAttempt(RequestId op, NodeId node, long timeOut, long latestBegin) {
        pushedTo = (int) node.value();
    }

    @Override
    public void rejectRetryable(RequestId op, long retryAfter) {
        throw new IllegalStateException("an idle router refused a request");
    }

    @Override
    public void failPermanently(RequestId op) {
        throw new IllegalStateException("an idle router refused a request");
    }

    @Override
    public void cancelAttempt(RequestId op, int push) {
        // Nothing is in flight that could be cancelled.
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        // The clock stands still here.
    }

    @Override
    public void checkHealth(NodeId node) {
        // No node is in doubt here.
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        // There are no peers here.
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        // The list is told at once.
    }

    @Override
    public void fetchEndpointList() {
        // As above.
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        // Nobody reads it here.
    }

    @Override
    public void log(String line) {
        // Nobody reads it here.
    }
}
