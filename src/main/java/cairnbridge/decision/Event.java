package cairnbridge.decision;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Ids.ZoneId;
import java.util.List;

/**
 * Everything a router is told. Times are tenths of a millisecond; a report is null where none came.
 */
public sealed interface Event {
    /** A new op. key is null where it names none; work is 0 and size negative where not told. */
    record RequestArrived(
            RequestId request,
            CategoryId category,
            TenantId tenant,
            KeyId key,
            long deadline,
            long work,
            long size,
            boolean isClientRetry,
            boolean isWrite)
            implements Event {}

    /**
     * How one push ended; over is set once the op owes no answer any more. note: 1 hit, 2 or 3
     * miss.
     */
    record AttemptEnded(
            RequestId request,
            int attempt,
            NodeId node,
            AttemptOutcome outcome,
            int cacheStatus,
            long duration,
            boolean isRequestOver,
            double[] loadReport)
            implements Event {}

    record StreamingStarted(RequestId request, int attempt, NodeId node, long elapsed)
            implements Event {}

    /** The client went away; nothing is owed for the op any more. */
    record RequestCancelled(RequestId request) implements Event {}

    record TimerFired(TimerId timer) implements Event {}

    record HealthCheckEnded(NodeId node, AttemptOutcome outcome, long duration, double[] loadReport)
            implements Event {}

    record PeerMessageReceived(PeerId from, byte[] body) implements Event {}

    record EndpointListReceived(ListScope scope, long version, List<Endpoint> endpoints)
            implements Event {}

    /** Staff take a node out, or put it back, whatever the list says of it. */
    record MaintenanceChanged(NodeId node, boolean inMaintenance) implements Event {}

    /**
     * So many proxies live, by a view that they keep together; counts in place of the configured
     * number.
     */
    record LiveProxyCountChanged(int count) implements Event {}

    /**
     * Most proxies of this one's zone cannot reach the node; a hint, which may only make it
     * distrusted sooner.
     */
    record NodeSuspected(NodeId node) implements Event {}

    /** Where ops may go from now on, by a plan over zones. */
    record PlacementChanged(Placement placement) implements Event {}

    /** The proxy is to end: no op may be kept beyond this time, whatever its TTL. */
    record ShutdownScheduled(long deadline) implements Event {}

    enum ListScope {
        CACHED,
        FULL,
        CHANGES,
        FAILED
    }

    enum NodeState {
        GONE,
        READY,
        DRAINING
    }

    /** started is the clock time of the last start, 0 where it was long ago. */
    record Endpoint(
            NodeId node,
            NodeState state,
            MachineKind kind,
            double size,
            long startedAt,
            CellId cell,
            ZoneId zone) {}

    /** The ways a push can end; neverRan tells which of them prove that the op did not run. */
    enum AttemptOutcome {
        SUCCESS(false),
        ERROR(false),
        OVERLOADED(true),
        TIMED_OUT(false),
        CONNECT_FAILED(true),
        CONNECTION_LOST(false),
        CANCELLED(false),
        NOT_SENT(true),
        CACHE_MISS(true);

        public final boolean provesNotExecuted;

        /** No node had any work by it. */
        boolean reachedNoNode() {
            return this == CONNECT_FAILED || this == NOT_SENT;
        }

        AttemptOutcome(boolean neverRan) {
            this.provesNotExecuted = neverRan;
        }
    }
}
