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
 * An event that a router handles. Times and durations are ticks; a load report is null if the
 * server sent none.
 */
public sealed interface Event {
    /**
     * A request has arrived.
     *
     * @param key null if the request names no key
     * @param work 0 if unknown
     * @param size negative if unknown
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
     * @param cacheStatus 1 for a hit, 2 or 3 for a miss, 0 if unknown
     * @param duration the time that the server took; of a request whose body streams from its last
     *     byte on
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
            implements Event {
        /** Returns the same event with another duration. */
        AttemptEnded withDuration(long changed) {
            return new AttemptEnded(
                    request,
                    attempt,
                    node,
                    outcome,
                    cacheStatus,
                    changed,
                    isRequestOver,
                    loadReport);
        }
    }

    /**
     * The deadline of a request has changed. The deadline of a request whose body is still being
     * received is that of a client which has just sent the last byte, until it has been received.
     *
     * @param deadline the clock time by which the request must be answered
     */
    record RequestDeadlineChanged(RequestId request, long deadline) implements Event {}

    /**
     * The body of a request has begun to stream to a server. How long it takes until {@link
     * RequestBodyReceived} depends on the client.
     */
    record RequestBodyStreamingStarted(RequestId request, int attempt) implements Event {}

    /** The last byte of the body of a request has been received. */
    record RequestBodyReceived(RequestId request) implements Event {}

    /**
     * The response of an attempt has begun to stream to the client. How long it takes from then on
     * depends on the client.
     *
     * @param elapsed the time that the server took until then
     */
    record StreamingStarted(RequestId request, int attempt, NodeId node, long elapsed)
            implements Event {}

    /** The client has disconnected; its request needs no answer any more. */
    record RequestCancelled(RequestId request) implements Event {}

    /** A timer started by {@link Host#startTimer} has expired. */
    record TimerFired(TimerId timer) implements Event {}

    /** A health check started by {@link Host#checkHealth} has ended. */
    record HealthCheckEnded(NodeId node, AttemptOutcome outcome, long duration, double[] loadReport)
            implements Event {}

    /** A message from another proxy has arrived. */
    record PeerMessageReceived(PeerId from, byte[] body) implements Event {}

    /** Discovery has sent the endpoint list or changes to it, or could not be reached. */
    record EndpointListReceived(ListScope scope, long version, List<Endpoint> endpoints)
            implements Event {}

    /**
     * Operators have put a node into maintenance or ended its maintenance, independently of its
     * state in the endpoint list.
     */
    record MaintenanceChanged(NodeId node, boolean inMaintenance) implements Event {}

    /**
     * The number of live proxies in the fleet's membership view has changed. It replaces the
     * configured number.
     */
    record LiveProxyCountChanged(int count) implements Event {}

    /**
     * Most proxies of this proxy's zone cannot reach the node. This is a hint: it may only lower
     * the share of requests that the node gets.
     */
    record NodeSuspected(NodeId node) implements Event {}

    /** A new zone plan determines where requests may go from now on. */
    record PlacementChanged(Placement placement) implements Event {}

    /**
     * The proxy shuts down: every request is answered by this time, even if its own deadline is
     * later.
     */
    record ShutdownScheduled(long deadline) implements Event {}

    /**
     * The scope of an endpoint list event. The adapter's protocol transfers the ordinal, so the
     * order of the constants must not change.
     */
    enum ListScope {
        /** The full list as it was last known, before discovery has sent a current one. */
        CACHED,
        /** The full current list. */
        FULL,
        /** Only the endpoints that have changed. */
        CHANGES,
        /** No list: discovery could not be reached. */
        FAILED
    }

    /**
     * The state of a server in the endpoint list. The adapter's protocol transfers the ordinal, so
     * the order of the constants must not change.
     */
    enum NodeState {
        /** Removed from service. */
        GONE,
        /** Accepts requests. */
        READY,
        /** Accepts no new requests, but completes those in flight. */
        DRAINING
    }

    /**
     * A server in the endpoint list.
     *
     * @param size its nominal capacity; a value that is not above 0 counts as 1
     * @param startedAt the clock time of its last start, 0 if that was long ago
     */
    record Endpoint(
            NodeId node,
            NodeState state,
            MachineKind kind,
            double size,
            long startedAt,
            CellId cell,
            ZoneId zone) {}

    /** The outcome of an attempt. */
    enum AttemptOutcome {
        /** The server answered. */
        SUCCESS(false),
        /** The server answered with an error. */
        ERROR(false),
        /** The server rejected the request, which proves that it has not executed it. */
        OVERLOADED(true),
        /** No answer arrived within the timeout. */
        TIMED_OUT(false),
        /** No connection could be established. */
        CONNECT_FAILED(true),
        /** The connection broke after the request was sent on it. */
        CONNECTION_LOST(false),
        /** The proxy cancelled the attempt. */
        CANCELLED(false),
        /** Nothing of the request was sent. */
        NOT_SENT(true),
        /** The cache does not hold the key. */
        CACHE_MISS(true);

        /** Whether the outcome proves that the server has not executed the request. */
        public final boolean provesNotExecuted;

        AttemptOutcome(boolean provesNotExecuted) {
            this.provesNotExecuted = provesNotExecuted;
        }

        /** Whether the attempt caused no work at any server. */
        boolean reachedNoNode() {
            return this == CONNECT_FAILED || this == NOT_SENT;
        }
    }
}
