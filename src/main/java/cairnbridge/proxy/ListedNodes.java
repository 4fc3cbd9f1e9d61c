package cairnbridge.proxy;

import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.proxy.EndpointListParser.ListedEndpoint;
import cairnbridge.zones.plan.ListedNode;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The nodes on the endpoint list, whatever their state. One thread at a time updates them; any
 * thread may query them.
 */
final class ListedNodes {
    private final MachineKind originKind;

    /** The nodes on the list, and whether each is a cache. */
    private final Map<NodeId, Boolean> isCacheByNode = new ConcurrentHashMap<>();

    /** The caches on the list, in the form that zone plans need. */
    private final Map<NodeId, ListedNode> caches = new ConcurrentHashMap<>();

    private volatile int count;

    /**
     * Starts without nodes.
     *
     * @param originKind the machine kind of the origin; a node of any other kind, configured or
     *     not, counts as a cache, as it does in the decision module
     */
    ListedNodes(MachineKind originKind) {
        this.originKind = originKind;
    }

    /** Applies a list, or changes of it. An empty list leaves the current nodes in use. */
    void update(ListScope scope, List<ListedEndpoint> entries) {
        boolean isWhole = scope != ListScope.CHANGES && !entries.isEmpty();
        if (isWhole) {
            isCacheByNode.clear();
        }
        entries.forEach(this::update);
        if (isWhole) {
            caches.keySet().retainAll(isCacheByNode.keySet());
        }
        count = isCacheByNode.size();
    }

    private void update(ListedEndpoint listed) {
        Endpoint entry = listed.endpoint();
        boolean isCache = !entry.kind().equals(originKind);
        if (entry.state() == NodeState.GONE) {
            isCacheByNode.remove(entry.node());
        } else {
            isCacheByNode.put(entry.node(), isCache);
        }
        if (entry.state() == NodeState.GONE || !isCache) {
            caches.remove(entry.node());
        } else {
            caches.put(entry.node(), toListedNode(listed));
        }
    }

    private static ListedNode toListedNode(ListedEndpoint listed) {
        Endpoint entry = listed.endpoint();
        return new ListedNode(
                entry.node().value(),
                listed.zone(),
                entry.state() == NodeState.READY,
                entry.size(),
                entry.startedAt() / TickClock.TICKS_PER_MILLI);
    }

    /** Whether no list with at least one node is known. */
    boolean isEmpty() {
        return isCacheByNode.isEmpty();
    }

    /** Whether the list names a node. */
    boolean contains(NodeId node) {
        return isCacheByNode.containsKey(node);
    }

    /** The number of nodes. */
    int count() {
        return count;
    }

    /** The number of caches among the nodes. */
    int cacheCount() {
        return (int) isCacheByNode.values().stream().filter(isCache -> isCache).count();
    }

    /** The caches among the nodes. */
    List<ListedNode> caches() {
        return List.copyOf(caches.values());
    }
}
