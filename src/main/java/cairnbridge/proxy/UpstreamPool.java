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
 * Carries pushes to the nodes: the addresses, and a pool of kept connections for each. Owner thread
 * only.
 */
final class UpstreamPool {
    /**
     * A node closes an idle connection at its limit; ours goes before that, with this part of it
     * passed.
     */
    private static final double IDLE_LIMIT_FACTOR = 0.7;

    private static final double SWEEP_FACTOR = 0.1;

    private final ConnectionReactor reactor;
    private final long connectTimeoutTicks;
    private final long idleLimitTicks;
    private final Map<NodeId, ArrayDeque<UpstreamConnection>> idleConnections = new HashMap<>();
    private final Map<NodeId, InetSocketAddress> addresses = new HashMap<>();
    private final Set<NodeId> nodesInMaintenance = new HashSet<>();

    UpstreamPool(ConnectionReactor sockets, long dialTimeOut, long idleLimit) {
        this.reactor = sockets;
        this.connectTimeoutTicks = dialTimeOut;
        this.idleLimitTicks = (long) (idleLimit * IDLE_LIMIT_FACTOR);
    }

    /**
     * Learns where the nodes are. Kept connections to a node that is no longer ready, or not named,
     * go.
     */
    void endpointListChanged(
            Event.EndpointListReceived roster, Map<NodeId, InetSocketAddress> fresh) {
        // Guards against a list that has lost its contents: as in the module, what is held stays in
        // use.
        if (!fresh.isEmpty()
                && (roster.scope() == ListScope.CACHED || roster.scope() == ListScope.FULL)) {
            addresses.clear();
        }
        addresses.putAll(fresh);
        for (Endpoint entry : roster.endpoints()) {
            if (entry.state() != NodeState.READY) {
                addresses.remove(entry.node());
            }
        }
        closeUnlisted();
    }

    /** To a node that is taken out no connection is opened, and none is kept. */
    void setMaintenance(NodeId node, boolean on) {
        if (on) {
            nodesInMaintenance.add(node);
        } else {
            nodesInMaintenance.remove(node);
        }
        closeUnlisted();
    }

    private void closeUnlisted() {
        idleConnections
                .entrySet()
                .removeIf(
                        each -> {
                            // Guards against a successor at the address of a node that is gone:
                            // pools go by node.
                            each.getValue()
                                    .removeIf(
                                            kept -> {
                                                boolean goes = !isListed(kept);
                                                if (goes) {
                                                    kept.close();
                                                }
                                                return goes;
                                            });
                            return each.getValue().isEmpty();
                        });
    }

    private boolean isListed(UpstreamConnection connection) {
        return connection.address.equals(addresses.get(connection.node))
                && !nodesInMaintenance.contains(connection.node);
    }

    InetSocketAddress addressOf(NodeId node) {
        return addresses.get(node);
    }

    /**
     * Whether anything new may go to a node: the list names it as ready, and staff have not taken
     * it out.
     */
    boolean isAvailable(NodeId node) {
        return addresses.containsKey(node) && !nodesInMaintenance.contains(node);
    }

    /** Sends a push over a kept connection or a new one; false where there is none to be had. */
    boolean trySend(UpstreamAttempt call) {
        if (!isAvailable(call.node)) {
            return false;
        }
        ArrayDeque<UpstreamConnection> kept = idleConnections.get(call.node);
        // The one used last is the least likely to be closed by the node.
        for (UpstreamConnection c = kept == null ? null : kept.pollLast();
                c != null;
                c = kept.pollLast()) {
            if (c.isOpen()) {
                c.reused = true;
                c.send(call);
                return true;
            }
        }
        // Guards against idle clients that hold all but what is reserved for this: nothing of ours
        // can go.
        if (reactor.isUpstreamFull() && !closeOldestIdle() && reactor.isExhausted()) {
            return false;
        }
        reactor.connect(addresses.get(call.node), connectTimeoutTicks, call).node = call.node;
        return true;
    }

    /** The push is over: its connection is kept if the exchange left it whole. */
    void release(UpstreamAttempt call, boolean whole, long now) {
        UpstreamConnection connection = call.connection;
        if (connection == null) {
            return;
        }
        if (!whole || !call.isWritten() || !isListed(connection)) {
            connection.close();
        } else if (connection.isOpen()) {
            connection.idleSinceTicks = now;
            idleConnections
                    .computeIfAbsent(connection.node, n -> new ArrayDeque<>())
                    .addLast(connection);
        }
    }

    void connectionClosed(UpstreamConnection connection) {
        ArrayDeque<UpstreamConnection> kept = idleConnections.get(connection.node);
        if (kept != null && kept.remove(connection) && kept.isEmpty()) {
            idleConnections.remove(connection.node);
        }
    }

    /** How often idle connections must be looked at, to be gone in time. */
    long sweepIntervalTicks() {
        return Math.max(1, (long) (idleLimitTicks * SWEEP_FACTOR));
    }

    /**
     * Guards against a push written to a connection that the node is just closing: ours go first.
     */
    void closeExpired(long now) {
        for (ArrayDeque<UpstreamConnection> kept : idleConnections.values()) {
            while (!kept.isEmpty() && now - kept.peekFirst().idleSinceTicks >= idleLimitTicks) {
                kept.pollFirst().close();
            }
        }
    }

    /**
     * Of the kept connections the one idle longest makes room for another; false where none is
     * idle.
     */
    boolean closeOldestIdle() {
        ArrayDeque<UpstreamConnection> oldest = null;
        for (ArrayDeque<UpstreamConnection> kept : idleConnections.values()) {
            if (!kept.isEmpty()
                    && (oldest == null
                            || kept.peekFirst().idleSinceTicks
                                    < oldest.peekFirst().idleSinceTicks)) {
                oldest = kept;
            }
        }
        if (oldest != null) {
            oldest.pollFirst().close();
        }
        return oldest != null;
    }
}
