package cairnbridge.decision;

import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.NodeId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The servers of the endpoint list, and which of them are in maintenance. */
final class NodeRegistry {
    private final RouterContext context;
    private final EndpointSubscription subscription;
    private final Map<NodeId, ServerNode> nodes =
            new TreeMap<>(Comparator.comparingLong(NodeId::value));

    /**
     * The start of each node's maintenance. Stored separately from the endpoint list, which does
     * not contain maintenance.
     */
    private final Map<NodeId, Long> maintenanceSince = new HashMap<>();

    NodeRegistry(RouterContext context) {
        this.context = context;
        subscription = new EndpointSubscription(context);
    }

    /** All known servers, ordered by id. */
    Collection<ServerNode> nodes() {
        return nodes.values();
    }

    boolean isInMaintenance(NodeId node) {
        return maintenanceSince.containsKey(node);
    }

    /** The number of listed servers that are in maintenance. */
    long maintenanceCount() {
        return maintenanceSince.keySet().stream().filter(nodes::containsKey).count();
    }

    /** The health of each server, for the warm start of the next router. */
    Map<NodeId, WarmStartState.SavedHealth> savedHealth() {
        Map<NodeId, WarmStartState.SavedHealth> health = new HashMap<>();
        nodes.forEach((id, node) -> health.put(id, node.savedHealth()));
        return health;
    }

    /** Handles a full endpoint list, a list of changes, or a failure to reach discovery. */
    void endpointListReceived(Event.EndpointListReceived list) {
        if (list.scope() == ListScope.FAILED) {
            subscription.failed();
            return;
        }
        if (list.scope() != ListScope.CACHED) {
            subscription.succeeded();
        }
        // Guards against an empty list sent in error: the known endpoints stay in use.
        if (list.scope() != ListScope.CHANGES && !list.endpoints().isEmpty()) {
            nodes.values().forEach(ServerNode::leftEndpointList);
        }
        for (Endpoint endpoint : list.endpoints()) {
            nodes.computeIfAbsent(endpoint.node(), id -> new ServerNode(id, context))
                    .endpointChanged(endpoint);
        }
        context.ring.rebuild();
    }

    /**
     * Guards against sending full load to a node that was restarted during its maintenance, when
     * the endpoint list reports the restart late: the node goes through slow start.
     */
    void maintenanceChanged(Event.MaintenanceChanged event) {
        if (event.inMaintenance()) {
            maintenanceSince.putIfAbsent(event.node(), context.now());
        } else {
            Long since = maintenanceSince.remove(event.node());
            ServerNode node = nodes.get(event.node());
            if (since != null && node != null) {
                node.returnedFromMaintenance(since);
            }
        }
        context.ring.rebuild();
    }

    void nodeSuspected(NodeId id) {
        ServerNode node = nodes.get(id);
        if (node != null) {
            context.loop.post(node::suspected);
        }
    }

    /** Guards against unbounded memory use, as nodes join and leave continuously. */
    void removeGoneNodes() {
        nodes.values().removeIf(ServerNode::isRemovable);
    }
}
