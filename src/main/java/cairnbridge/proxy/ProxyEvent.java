package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * An event for the coordinator thread. Other threads change the coordinator's state only by posting
 * events to its {@link EventQueue}.
 */
sealed interface ProxyEvent {
    /** An event of a client or of its request. */
    sealed interface ClientEvent extends ProxyEvent {}

    /** An event of an attempt at a node. */
    sealed interface AttemptEvent extends ProxyEvent {}

    /** An event of the connections to servers. */
    sealed interface ConnectionEvent extends ProxyEvent {}

    /** An event of discovery, of health checks, of operators or of the fleet. */
    sealed interface FleetEvent extends ProxyEvent {}

    /** An event that controls the coordinator thread itself. */
    sealed interface ControlEvent extends ProxyEvent {}

    /** A request has been read, or its body has started to be streamed. */
    record RequestArrived(ClientExchange exchange, long deadlineTicks) implements ClientEvent {}

    /** A client has closed its connection before its request was answered completely. */
    record ClientDisconnected(ClientExchange exchange) implements ClientEvent {}

    /** A streamed request body has been received completely; the request's TTL starts now. */
    record RequestBodyCompleted(ClientExchange exchange, long deadlineTicks)
            implements ClientEvent {}

    /**
     * An attempt has ended.
     *
     * @param cacheStatus 1 for a hit, 2 or 3 for a miss, 0 if the node sent no cache status
     * @param body the response body if the outcome is a success and the response was buffered; else
     *     null
     * @param endedAtTicks when the last byte of the response was read, or the attempt failed
     */
    record AttemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int cacheStatus,
            byte[] body,
            long endedAtTicks)
            implements AttemptEvent {}

    /** A response is streamed, not buffered; the bytes received so far are in its pipe. */
    record ResponseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe)
            implements AttemptEvent {}

    /** The streamed request body is used by this attempt, so no other attempt can send it. */
    record RequestBodyClaimed(UpstreamAttempt attempt) implements AttemptEvent {}

    /** The pooled connection of an attempt was stale; the attempt needs another connection. */
    record PooledConnectionFailed(UpstreamAttempt attempt) implements AttemptEvent {}

    /** A connection to a server was closed, by either side. */
    record UpstreamConnectionClosed(UpstreamConnection connection) implements ConnectionEvent {}

    /** The descriptor budget is used up: an idle connection to a server should be closed. */
    record DescriptorBudgetExceeded() implements ConnectionEvent {}

    /**
     * Discovery has sent the endpoint list or changes to it, or could not be reached.
     *
     * @param applied runs once the pool and the router have applied the change
     */
    record EndpointListChanged(
            Event.EndpointListReceived list,
            Map<NodeId, InetSocketAddress> addresses,
            Runnable applied)
            implements FleetEvent {
        EndpointListChanged(
                Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses) {
            this(list, addresses, () -> {});
        }
    }

    /** Discovery has sent an endpoint list that is older than a known one; it is not used. */
    record StaleListReceived(long version) implements FleetEvent {}

    /** Requests a health check of a node by this proxy. */
    record HealthCheckRequested(NodeId node) implements FleetEvent {}

    /** A health check of a node has ended. */
    record HealthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks)
            implements FleetEvent {}

    /**
     * An operator has put a node into maintenance or taken it out.
     *
     * @param applied completed once the pool and the router have applied the change
     */
    record NodeMaintenanceChanged(NodeId node, boolean enabled, CompletableFuture<Boolean> applied)
            implements FleetEvent {}

    /** Carries an event from the fleet to the router. */
    record RouterEventRaised(Event event) implements FleetEvent {}

    /** The fleet's membership view has changed. */
    record FleetChanged(FleetSnapshot snapshot) implements FleetEvent {}

    /** Wakes the coordinator thread to poll an urgent event, which is in a separate queue. */
    record QueueWakeup() implements ControlEvent {}

    /** The process shuts down: every request must be answered by this deadline. */
    record ShutdownRequested(long deadlineTicks) implements ControlEvent {}

    /** The coordinator thread ends after the events queued before this one. */
    record StopRequested() implements ControlEvent {}
}
