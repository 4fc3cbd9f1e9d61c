package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The connections to the nodes: sends attempts on idle or new connections, and keeps the idle ones
 * of each node for reuse. Used only by the coordinator thread.
 */
final class UpstreamPool {
    /**
     * The proxy closes an idle connection after this share of the nodes' idle timeout, so that the
     * node does not close it first.
     */
    private static final double IDLE_LIMIT_FACTOR = 0.7;

    /** The interval between sweeps for expired connections, as a share of the idle limit. */
    private static final double SWEEP_INTERVAL_FACTOR = 0.1;

    private final ConnectionReactor reactor;
    private final long connectTimeoutTicks;
    private final long idleLimitTicks;
    private final Map<NodeId, ArrayDeque<UpstreamConnection>> idleConnections = new HashMap<>();
    private final Map<NodeId, InetSocketAddress> addresses = new HashMap<>();
    private final Set<NodeId> nodesInMaintenance = new HashSet<>();

    /**
     * Creates a pool without nodes and connections.
     *
     * @param nodeIdleTimeoutTicks the time after which nodes close an idle connection
     */
    UpstreamPool(ConnectionReactor reactor, long connectTimeoutTicks, long nodeIdleTimeoutTicks) {
        this.reactor = reactor;
        this.connectTimeoutTicks = connectTimeoutTicks;
        this.idleLimitTicks = (long) (nodeIdleTimeoutTicks * IDLE_LIMIT_FACTOR);
    }

    /**
     * Updates the addresses of the nodes. Closes the idle connections to nodes that are not ready
     * or not in the list any more.
     */
    void endpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> newAddresses) {
        // Guards against an endpoint list that is empty by mistake: like the router, the pool keeps
        // the nodes that it has.
        if (!newAddresses.isEmpty()
                && (list.scope() == ListScope.CACHED || list.scope() == ListScope.FULL)) {
            addresses.clear();
        }
        removePredecessors(newAddresses);
        addresses.putAll(newAddresses);
        for (Endpoint endpoint : list.endpoints()) {
            if (endpoint.state() != NodeState.READY) {
                addresses.remove(endpoint.node());
            }
        }
        closeUnusable();
    }

    /**
     * Removes nodes whose address has been given to another node. Guards against requests that
     * reach a new process in the belief that it is the old one, because the list tells of the new
     * node before it tells that the old one is gone.
     */
    private void removePredecessors(Map<NodeId, InetSocketAddress> newAddresses) {
        Set<InetSocketAddress> takenAddresses = new HashSet<>(newAddresses.values());
        addresses
                .entrySet()
                .removeIf(
                        entry ->
                                !newAddresses.containsKey(entry.getKey())
                                        && takenAddresses.contains(entry.getValue()));
    }

    /** Puts a node into maintenance, in which it gets no connections, or takes it out. */
    void setMaintenance(NodeId node, boolean enabled) {
        if (enabled) {
            nodesInMaintenance.add(node);
        } else {
            nodesInMaintenance.remove(node);
        }
        closeUnusable();
    }

    private void closeUnusable() {
        idleConnections
                .entrySet()
                .removeIf(
                        entry -> {
                            // Guards against reusing connections to a removed node for its
                            // successor at the same address: connections are pooled by node id,
                            // and those of removed nodes are closed here.
                            entry.getValue()
                                    .removeIf(
                                            connection -> {
                                                boolean unusable = !isUsable(connection);
                                                if (unusable) {
                                                    connection.close();
                                                }
                                                return unusable;
                                            });
                            return entry.getValue().isEmpty();
                        });
    }

    /** Whether the connection leads to the present address of a node not in maintenance. */
    private boolean isUsable(UpstreamConnection connection) {
        return connection.address.equals(addresses.get(connection.node))
                && !nodesInMaintenance.contains(connection.node);
    }

    /** The address of a node that is listed as ready; null for any other. */
    InetSocketAddress addressOf(NodeId node) {
        return addresses.get(node);
    }

    /**
     * Whether new requests may be sent to a node: the endpoint list has it as ready, and it is not
     * in maintenance.
     */
    boolean isAvailable(NodeId node) {
        return addresses.containsKey(node) && !nodesInMaintenance.contains(node);
    }

    /**
     * Sends an attempt on an idle connection or on a new one, which it opens.
     *
     * @return false if the node is not available, or no descriptor is left for a connection
     */
    boolean trySend(UpstreamAttempt attempt) {
        if (!isAvailable(attempt.node)) {
            return false;
        }
        ArrayDeque<UpstreamConnection> idle = idleConnections.get(attempt.node);
        // The connection used last is the least likely to have been closed by the node.
        for (UpstreamConnection c = idle == null ? null : idle.pollLast();
                c != null;
                c = idle.pollLast()) {
            if (c.isOpen()) {
                c.reused = true;
                c.send(attempt);
                return true;
            }
        }
        // Guards against failing attempts while idle clients fill the descriptor budget: if the
        // pool has no idle connection to close, a new one may use the descriptors that clients
        // never get.
        if (reactor.isUpstreamFull() && !closeOldestIdle() && reactor.isExhausted()) {
            return false;
        }
        reactor.connect(addresses.get(attempt.node), connectTimeoutTicks, attempt).node =
                attempt.node;
        return true;
    }

    /**
     * Puts the connection of an attempt that has ended into the pool, or closes it if it cannot be
     * reused.
     *
     * @param responseComplete whether the response was read to its end
     * @param now the present time in ticks
     */
    void release(UpstreamAttempt attempt, boolean responseComplete, long now) {
        UpstreamConnection connection = attempt.connection;
        if (connection == null) {
            return;
        }
        if (!responseComplete || !attempt.isWritten() || !isUsable(connection)) {
            connection.close();
        } else if (connection.isOpen()) {
            connection.idleSinceTicks = now;
            idleConnections
                    .computeIfAbsent(connection.node, n -> new ArrayDeque<>())
                    .addLast(connection);
        }
    }

    /** Removes a closed connection from the pool, if it was idle. */
    void connectionClosed(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> idle = idleConnections.get(connection.node);
        if (idle != null && idle.remove(connection) && idle.isEmpty()) {
            idleConnections.remove(connection.node);
        }
    }

    /** The longest interval between calls of {@link #closeExpired}, in ticks. */
    long sweepIntervalTicks() {
        return Math.max(1, (long) (idleLimitTicks * SWEEP_INTERVAL_FACTOR));
    }

    /**
     * Guards against a request written to a connection that the node is closing at that moment: the
     * proxy closes an idle connection before the idle timeout of the node.
     */
    void closeExpired(long now) {
        for (ArrayDeque<UpstreamConnection> idle : idleConnections.values()) {
            while (!idle.isEmpty() && now - idle.peekFirst().idleSinceTicks >= idleLimitTicks) {
                idle.pollFirst().close();
            }
        }
    }

    /**
     * Closes the connection that has been idle longest, to free a descriptor.
     *
     * @return false if no connection is idle
     */
    boolean closeOldestIdle() {
        ArrayDeque<UpstreamConnection> oldest = null;
        for (ArrayDeque<UpstreamConnection> idle : idleConnections.values()) {
            if (!idle.isEmpty()
                    && (oldest == null
                            || idle.peekFirst().idleSinceTicks
                                    < oldest.peekFirst().idleSinceTicks)) {
                oldest = idle;
            }
        }
        if (oldest != null) {
            oldest.pollFirst().close();
        }
        return oldest != null;
    }
}
