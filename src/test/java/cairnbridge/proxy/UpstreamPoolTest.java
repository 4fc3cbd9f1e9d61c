package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.EndpointListReceived;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Which nodes new requests are sent to. */
class UpstreamPoolTest {
    private static final NodeId OLD = new NodeId(1);
    private static final NodeId NEW = new NodeId(2);
    private static final InetSocketAddress SHARED = new InetSocketAddress("127.0.0.1", 7001);
    private static final InetSocketAddress OTHER = new InetSocketAddress("127.0.0.1", 7002);

    private final UpstreamPool pool = new UpstreamPool(null, 1, 1);

    private void list(ListScope scope, Map<NodeId, InetSocketAddress> addresses) {
        List<Endpoint> endpoints =
                addresses.keySet().stream()
                        .map(
                                node ->
                                        new Endpoint(
                                                node,
                                                NodeState.READY,
                                                new MachineKind(0),
                                                1,
                                                0,
                                                new CellId(0),
                                                new ZoneId(0)))
                        .toList();
        pool.endpointListChanged(new EndpointListReceived(scope, 1, endpoints), addresses);
    }

    /** Guards against requests for a node that is gone at the process that has its address now. */
    @Test
    void aNodeWhoseAddressIsGivenToAnotherGetsNothing() {
        list(ListScope.FULL, Map.of(OLD, SHARED));
        list(ListScope.CHANGES, Map.of(NEW, SHARED));
        assertFalse(pool.isAvailable(OLD));
        assertTrue(pool.isAvailable(NEW));

        list(ListScope.CHANGES, Map.of(OLD, OTHER));
        assertEquals(OTHER, pool.addressOf(OLD));
        assertTrue(pool.isAvailable(NEW));
    }

    @Test
    void nodesThatOneListGivesTheSameAddressAreBothUsed() {
        list(ListScope.FULL, Map.of(OLD, SHARED, NEW, SHARED));
        list(ListScope.CHANGES, Map.of(OLD, SHARED, NEW, SHARED));
        assertTrue(pool.isAvailable(OLD));
        assertTrue(pool.isAvailable(NEW));
    }
}
