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
final class Push {
    /**
     * A node closes an idle connection at its limit; ours goes before that, with this part of it
     * passed.
     */
    private static final double IDLE_PART = 0.7;

    private static final double SWEEP_PART = 0.1;

    private final Sockets sockets;
    private final long dialTimeOut;
    private final long idleLimit;
    private final Map<NodeId, ArrayDeque<Connection>> idle = new HashMap<>();
    private final Map<NodeId, InetSocketAddress> addresses = new HashMap<>();
    private final Set<NodeId> held = new HashSet<>();

    Push(Sockets sockets, long dialTimeOut, long idleLimit) {
        this.sockets = sockets;
        this.dialTimeOut = dialTimeOut;
        this.idleLimit = (long) (idleLimit * IDLE_PART);
    }

    /**
     * Learns where the nodes are. Kept connections to a node that is no longer ready, or not named,
     * go.
     */
    void listed(Event.EndpointListReceived roster, Map<NodeId, InetSocketAddress> fresh) {
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
        dropUnnamed();
    }

    /** To a node that is taken out no connection is opened, and none is kept. */
    void hold(NodeId node, boolean on) {
        if (on) {
            held.add(node);
        } else {
            held.remove(node);
        }
        dropUnnamed();
    }

    private void dropUnnamed() {
        idle.entrySet()
                .removeIf(
                        each -> {
                            // Guards against a successor at the address of a node that is gone:
                            // pools go by node.
                            each.getValue()
                                    .removeIf(
                                            kept -> {
                                                boolean goes = !isNamed(kept);
                                                if (goes) {
                                                    kept.close();
                                                }
                                                return goes;
                                            });
                            return each.getValue().isEmpty();
                        });
    }

    private boolean isNamed(Connection connection) {
        return connection.address.equals(addresses.get(connection.node))
                && !held.contains(connection.node);
    }

    InetSocketAddress address(NodeId node) {
        return addresses.get(node);
    }

    /**
     * Whether anything new may go to a node: the list names it as ready, and staff have not taken
     * it out.
     */
    boolean takes(NodeId node) {
        return addresses.containsKey(node) && !held.contains(node);
    }

    /** Sends a push over a kept connection or a new one; false where there is none to be had. */
    boolean start(PushCall call) {
        if (!takes(call.node)) {
            return false;
        }
        ArrayDeque<Connection> kept = idle.get(call.node);
        // The one used last is the least likely to be closed by the node.
        for (Connection c = kept == null ? null : kept.pollLast(); c != null; c = kept.pollLast()) {
            if (c.isOpen()) {
                c.used = true;
                c.send(call);
                return true;
            }
        }
        // Guards against idle clients that hold all but what is reserved for this: nothing of ours
        // can go.
        if (sockets.isFull() && !closeOldest() && sockets.isSpent()) {
            return false;
        }
        sockets.dial(addresses.get(call.node), dialTimeOut, call).node = call.node;
        return true;
    }

    /** The push is over: its connection is kept if the exchange left it whole. */
    void done(PushCall call, boolean whole, long now) {
        Connection connection = call.connection;
        if (connection == null) {
            return;
        }
        if (!whole || !call.isWritten() || !isNamed(connection)) {
            connection.close();
        } else if (connection.isOpen()) {
            connection.idleSince = now;
            idle.computeIfAbsent(connection.node, n -> new ArrayDeque<>()).addLast(connection);
        }
    }

    void closed(Connection connection) {
        ArrayDeque<Connection> kept = idle.get(connection.node);
        if (kept != null && kept.remove(connection) && kept.isEmpty()) {
            idle.remove(connection.node);
        }
    }

    /** How often idle connections must be looked at, to be gone in time. */
    long sweep() {
        return Math.max(1, (long) (idleLimit * SWEEP_PART));
    }

    /**
     * Guards against a push written to a connection that the node is just closing: ours go first.
     */
    void dropIdle(long now) {
        for (ArrayDeque<Connection> kept : idle.values()) {
            while (!kept.isEmpty() && now - kept.peekFirst().idleSince >= idleLimit) {
                kept.pollFirst().close();
            }
        }
    }

    /**
     * Of the kept connections the one idle longest makes room for another; false where none is
     * idle.
     */
    boolean closeOldest() {
        ArrayDeque<Connection> oldest = null;
        for (ArrayDeque<Connection> kept : idle.values()) {
            if (!kept.isEmpty()
                    && (oldest == null
                            || kept.peekFirst().idleSince < oldest.peekFirst().idleSince)) {
                oldest = kept;
            }
        }
        if (oldest != null) {
            oldest.pollFirst().close();
        }
        return oldest != null;
    }
}
