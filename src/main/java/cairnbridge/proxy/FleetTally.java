package cairnbridge.proxy;

import cairnbridge.config.Names;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.Ending;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.use.ReachReport;
import cairnbridge.zones.use.ZoneTally;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * What a fleet is told of this proxy's own ops and pushes. The owner thread counts; any thread reads what was
 * so a moment ago. There is none where a proxy is alone. Times in tenths of a millisecond.
 */
final class FleetTally {
    /** A push called off with less than this left of its op's time had met silence. */
    private static final long SILENT = 20 * Clock.MILLI;
    private final ReachReport reach = new ReachReport();
    private final ZoneTally zones = new ZoneTally();
    /** Hashes of the zones' names, by cache. */
    private final Map<NodeId, Long> zoneOf = new HashMap<>();
    private final List<String> zoneNames;
    private final MachineKind originKind;
    private final long[] targets;
    private final AtomicLongArray taken;
    private volatile List<Long> unreachable = List.of(), triples = List.of();

    FleetTally(ProxyConfig config) {
        zoneNames = config.zones();
        originKind = config.settings().originKind();
        targets = config.settings().categories().stream().mapToLong(Settings.Category::target).toArray();
        taken = new AtomicLongArray(targets.length);
    }

    void taken(Exchange client) {
        taken.incrementAndGet(client.category.value());
    }

    void listed(Event.Roster roster) {
        for (Event.Entry entry : roster.entries()) {
            int zone = entry.zone().value();
            // Guards against a zone that looks well to all because the origin stands in it.
            boolean origin = entry.kind().equals(originKind);
            if (entry.state() == Event.State.GONE || zone >= zoneNames.size() || origin) {
                zoneOf.remove(entry.node());
            } else {
                zoneOf.put(entry.node(), Names.hash(zoneNames.get(zone)));
            }
        }
    }

    void probed(NodeId node, Ending ending, long now) {
        reached(node, ending, 0, now);
    }

    /** left: what was left of its op's time. */
    void ended(PushCall call, Ending ending, long took, long left, long now) {
        reached(call.node, ending, left, now);
        Long zone = zoneOf.get(call.node);
        if (zone != null && says(ending, left)) {
            boolean given = ending == Ending.ACKED || ending == Ending.MISS || ending == Ending.FULL;
            zones.ended(zone, !given || took > targets[call.client.category.value()], now);
        }
    }

    private void reached(NodeId node, Ending ending, long left, long now) {
        if (says(ending, left)) {
            boolean none = ending == Ending.TIMED_OUT || ending == Ending.CALLED_OFF
                    || ending == Ending.NO_CONNECTION || ending == Ending.BROKEN;
            reach.ended(node.value(), !none, now);
        }
    }

    /** Whether an ending tells anything of the node: one called off does where its op's time had run out. */
    private static boolean says(Ending ending, long left) {
        return ending != Ending.NEVER_SENT && (ending != Ending.CALLED_OFF || left <= SILENT);
    }

    /** What was counted so far may be read from now on. */
    void publish(long now) {
        unreachable = reach.unreachable(now);
        triples = zones.triples(now);
    }

    /** Ops taken of one category since the start. */
    long taken(int category) {
        return taken.get(category);
    }

    List<Long> unreachable() {
        return unreachable;
    }

    /** How pushes went lately, by zone, as members tell it. */
    List<Long> zones() {
        return triples;
    }
}
