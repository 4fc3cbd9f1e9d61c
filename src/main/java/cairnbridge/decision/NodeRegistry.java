package cairnbridge.decision;

import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.NodeId;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** The servers that the endpoint list names, and which of them operators have in maintenance. */
final class NodeRegistry {
    private final RouterContext context;
    private final EndpointSubscription subscription;
    private final Map<NodeId, ServerNode> nodes =
            new TreeMap<>(Comparator.comparingLong(NodeId::value));

    /** Since when; kept apart from the list, which knows nothing of maintenance. */
    private final Map<NodeId, Long> maintenanceSince = new HashMap<>();

    NodeRegistry(RouterContext context) {
        this.context = context;
        subscription = new EndpointSubscription(context);
    }

    /** All known servers by the order of their ids. */
    Collection<ServerNode> nodes() {
        return nodes.values();
    }

    boolean isInMaintenance(NodeId node) {
        return maintenanceSince.containsKey(node);
    }

    /** How many servers of the list are in maintenance. */
    long maintenanceCount() {
        return maintenanceSince.keySet().stream().filter(nodes::containsKey).count();
    }

    /** How far each server is trusted. */
    Map<NodeId, WarmStartState.Trust> trust() {
        Map<NodeId, WarmStartState.Trust> trust = new HashMap<>();
        nodes.forEach((id, node) -> trust.put(id, node.trust()));
        return trust;
    }

    /** Takes a list, a part of one, or the news that discovery could not be reached. */
    void endpointListReceived(Event.EndpointListReceived list) {
        if (list.scope() == ListScope.FAILED) {
            subscription.failed();
            return;
        }
        if (list.scope() != ListScope.CACHED) {
            subscription.succeeded();
        }
        // Guards against a list that has lost its contents: what is known stays in use.
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
     * Guards against a node restarted meanwhile, of which the list tells late: it comes back as
     * cold.
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

    /**
     * Guards against memory that grows with every node that ever was, as nodes come and go all day.
     */
    void forgetGoneNodes() {
        nodes.values().removeIf(ServerNode::isForgettable);
    }
}
