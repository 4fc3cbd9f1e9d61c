package cairnbridge.recovery;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tracks from the endpoint list which node is the origin, and when the cache nodes started. */
final class NodeStartTimes {
    private final MachineKind originKind;
    private final Map<NodeId, Long> startedAt = new HashMap<>();
    private Optional<NodeId> origin = Optional.empty();

    NodeStartTimes(MachineKind originKind) {
        this.originKind = originKind;
    }

    /** Applies a whole list or a change; a whole list without nodes is ignored. */
    void endpointListChanged(Event.EndpointListReceived change) {
        if (change.scope() != ListScope.CHANGES && !change.endpoints().isEmpty()) {
            startedAt.clear();
        }
        for (Event.Endpoint entry : change.endpoints()) {
            if (entry.kind().equals(originKind)) {
                origin = Optional.of(entry.node());
            } else if (entry.state() == NodeState.GONE) {
                startedAt.remove(entry.node());
            } else {
                startedAt.put(entry.node(), entry.startedAt());
            }
        }
    }

    /** The latest start of a cache node, in ticks of Unix time; 0 if there is no cache node. */
    long latestStart() {
        return startedAt.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** The origin; empty until a list has contained it. */
    Optional<NodeId> origin() {
        return origin;
    }

    boolean isOrigin(NodeId node) {
        return origin.filter(node::equals).isPresent();
    }
}
