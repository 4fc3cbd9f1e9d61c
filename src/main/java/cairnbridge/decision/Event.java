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

/** What a router is told. Times and durations are ticks; a load report is null where none came. */
public sealed interface Event {
    /**
     * A request has arrived.
     *
     * @param key null where the request names none
     * @param work 0 where it is not told
     * @param size below 0 where it is not told
     */
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
     * An attempt has ended.
     *
     * @param cacheStatus 1 for a hit, 2 or 3 for a miss, 0 where it is not told
     * @param isRequestOver whether the request needs no answer any more
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

    /** The answer of an attempt has begun to pass through to the client. */
    record StreamingStarted(RequestId request, int attempt, NodeId node, long elapsed)
            implements Event {}

    /** The client went away; its request needs no answer any more. */
    record RequestCancelled(RequestId request) implements Event {}

    /** A timer of the host has run out. */
    record TimerFired(TimerId timer) implements Event {}

    /** A health check has ended. */
    record HealthCheckEnded(NodeId node, AttemptOutcome outcome, long duration, double[] loadReport)
            implements Event {}

    /** Another proxy has sent a message. */
    record PeerMessageReceived(PeerId from, byte[] body) implements Event {}

    /** Discovery has sent the endpoint list or a part of it, or could not be reached. */
    record EndpointListReceived(ListScope scope, long version, List<Endpoint> endpoints)
            implements Event {}

    /** Operators take a node into maintenance or out of it, whatever the list says of it. */
    record MaintenanceChanged(NodeId node, boolean inMaintenance) implements Event {}

    /** So many proxies are live in the fleet's view; counts in place of the configured number. */
    record LiveProxyCountChanged(int count) implements Event {}

    /**
     * Most proxies of this one's zone cannot reach the node; a hint, which may only make it
     * distrusted sooner.
     */
    record NodeSuspected(NodeId node) implements Event {}

    /** Where requests may go from now on, by a plan over zones. */
    record PlacementChanged(Placement placement) implements Event {}

    /** The proxy is to end: every request is answered by this time, whatever its own deadline. */
    record ShutdownScheduled(long deadline) implements Event {}

    /** How much of the endpoint list an event holds. The order is part of the adapter's wire. */
    enum ListScope {
        /** The whole list as it was known before. */
        CACHED,
        /** The whole list. */
        FULL,
        /** Changed endpoints alone. */
        CHANGES,
        /** None: discovery could not be reached. */
        FAILED
    }

    /** The state of a server in the endpoint list. The order is part of the adapter's wire. */
    enum NodeState {
        /** Not in use any more. */
        GONE,
        /** Takes requests. */
        READY,
        /** Takes nothing new. */
        DRAINING
    }

    /**
     * A server in the endpoint list.
     *
     * @param size its nominal capacity; 1 where it is not above 0
     * @param startedAt the clock time of the last start, 0 where it was long ago
     */
    record Endpoint(
            NodeId node,
            NodeState state,
            MachineKind kind,
            double size,
            long startedAt,
            CellId cell,
            ZoneId zone) {}

    /** The ways an attempt can end. */
    enum AttemptOutcome {
        /** Answered. */
        SUCCESS(false),
        /** Answered with an error. */
        ERROR(false),
        /** Rejected by the server, which proves that it has not run the request. */
        OVERLOADED(true),
        /** No answer in time. */
        TIMED_OUT(false),
        /** No connection came up. */
        CONNECT_FAILED(true),
        /** The connection broke after the request was handed to it. */
        CONNECTION_LOST(false),
        /** Cancelled by the proxy. */
        CANCELLED(false),
        /** Not a byte has left. */
        NOT_SENT(true),
        /** The cache does not have the key. */
        CACHE_MISS(true);

        /** Whether the server has certainly not run the request. */
        public final boolean provesNotExecuted;

        AttemptOutcome(boolean provesNotExecuted) {
            this.provesNotExecuted = provesNotExecuted;
        }

        /** Whether no server had any work by it. */
        boolean reachedNoNode() {
            return this == CONNECT_FAILED || this == NOT_SENT;
        }
    }
}
