package cairnbridge.lab.model;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.hash.Fnv1a;
import cairnbridge.simulation.EventQueue;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Discovery: a list of nodes with a version, which each proxy follows a little later, unless it is
 * cut off.
 */
public final class RosterModel {
    private static final long LOOK = 50 * EventQueue.MILLI;
    private static final long AGAIN = 2 * EventQueue.SECOND;
    private final EventQueue agenda;
    private final List<String> zones;
    private final Map<NodeId, Endpoint> entries = new LinkedHashMap<>();
    private final Map<NodeId, Long> changedAt = new HashMap<>();
    private final Map<ProxyModel, Long> told = new LinkedHashMap<>();
    private final Set<String> down = new HashSet<>();
    private long version;

    /** An empty list of nodes in zones. */
    public RosterModel(EventQueue agenda, List<String> zones) {
        this.agenda = agenda;
        this.zones = zones;
    }

    /** The id of a node by its name. */
    public static NodeId id(String uid) {
        return new NodeId(Fnv1a.hash(uid));
    }

    /** kind: 0 a cache, 1 the origin; began in tenths of a millisecond, 0 for long ago. */
    public void put(String uid, int kind, String zone, NodeState state, long began) {
        NodeId node = id(uid);
        entries.put(
                node,
                new Endpoint(
                        node,
                        state,
                        new MachineKind(kind),
                        1,
                        began,
                        new CellId(0),
                        new ZoneId(zones.indexOf(zone))));
        changed(node);
    }

    /** Changes the state of a node. */
    public void state(String uid, NodeState state) {
        Endpoint old = entries.get(id(uid));
        entries.put(
                id(uid),
                new Endpoint(
                        old.node(),
                        state,
                        old.kind(),
                        old.size(),
                        old.startedAt(),
                        old.cell(),
                        old.zone()));
        changed(id(uid));
    }

    private void changed(NodeId node) {
        changedAt.put(node, ++version);
        told.keySet().forEach(this::soon);
    }

    /** The proxy follows the list from now on. */
    public void follows(ProxyModel proxy) {
        told.put(proxy, 0L);
        soon(proxy);
    }

    /** A proxy follows the list no more. */
    public void leaves(ProxyModel proxy) {
        told.remove(proxy);
    }

    /** Cuts a proxy off the list, or ends that. */
    public void down(String proxy, boolean on) {
        if (on) {
            down.add(proxy);
        } else if (down.remove(proxy)) {
            told.keySet().stream()
                    .filter(each -> each.name().equals(proxy))
                    .toList()
                    .forEach(this::soon);
        }
    }

    private void soon(ProxyModel proxy) {
        agenda.schedule(LOOK, () -> tell(proxy));
    }

    private void tell(ProxyModel proxy) {
        Long seen = told.get(proxy);
        if (seen == null || seen == version || down.contains(proxy.name())) {
            return;
        }
        List<Endpoint> news = new ArrayList<>();
        for (Endpoint entry : entries.values()) {
            if (changedAt.get(entry.node()) > seen
                    && (seen > 0 || entry.state() != NodeState.GONE)) {
                news.add(entry);
            }
        }
        Event.EndpointListReceived roster =
                new Event.EndpointListReceived(
                        seen == 0 ? ListScope.FULL : ListScope.CHANGES, version, news);
        if (proxy.back() == null || proxy.back().listed(roster)) {
            told.put(proxy, version);
            proxy.tell(roster);
        } else {
            agenda.schedule(
                    AGAIN, () -> tell(proxy)); // It has dropped the line and asks once more.
        }
    }

    /** The proxy asks for the whole list. */
    public void anew(ProxyModel proxy) {
        if (told.containsKey(proxy)) {
            told.put(proxy, 0L);
            soon(proxy);
        }
    }

    /** So many changes were never written down. */
    public void back(int changes) {
        version = Math.max(1, version - changes);
        changedAt.replaceAll((node, at) -> Math.min(at, version));
    }
}
