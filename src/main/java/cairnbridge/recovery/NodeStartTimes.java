package cairnbridge.recovery;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** What recovery needs of the endpoint list: which node is the origin, and when others started. */
final class NodeStartTimes {
    private final MachineKind originKind;
    private final Map<NodeId, Long> startedAt = new HashMap<>();
    private Optional<NodeId> origin = Optional.empty();

    NodeStartTimes(MachineKind originKind) {
        this.originKind = originKind;
    }

    /** Applies a change; an empty list leaves the one before in use. */
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

    /** When the last of the cache nodes started, in ticks of Unix time; 0 if there is none. */
    long latestStart() {
        return startedAt.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    /** The origin, if a list has named it. */
    Optional<NodeId> origin() {
        return origin;
    }

    boolean isOrigin(NodeId node) {
        return origin.filter(node::equals).isPresent();
    }
}
