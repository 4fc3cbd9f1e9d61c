package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * What has happened that concerns the owner thread. Other threads reach it by events in its {@link
 * EventQueue} and in no other way.
 */
sealed interface ProxyEvent {
    /** An event of a client or of its request. */
    sealed interface ClientEvent extends ProxyEvent {}

    /** An event of an attempt at a server. */
    sealed interface AttemptEvent extends ProxyEvent {}

    /** An event of the connections to servers. */
    sealed interface ConnectionEvent extends ProxyEvent {}

    /** An event of discovery, of health checks, of operators or of the fleet. */
    sealed interface FleetEvent extends ProxyEvent {}

    /** An event of the owner thread itself. */
    sealed interface ControlEvent extends ProxyEvent {}

    /** A request has arrived. */
    record RequestArrived(ClientExchange exchange, long deadlineTicks) implements ClientEvent {}

    /** A client has closed its connection. */
    record ClientDisconnected(ClientExchange exchange) implements ClientEvent {}

    /** A streamed request body has come to its last byte; the request's TTL counts from there. */
    record RequestBodyCompleted(ClientExchange exchange, long deadlineTicks)
            implements ClientEvent {}

    /**
     * An attempt has ended.
     *
     * @param body the response body where the outcome is a success that was not streamed
     * @param endedAtTicks the time of the last byte of the response
     */
    record AttemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int storeNote,
            byte[] body,
            long endedAtTicks)
            implements AttemptEvent {}

    /** A response has begun that is too long to be buffered; its first bytes are in its pipe. */
    record ResponseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe)
            implements AttemptEvent {}

    /** The streamed request body is on its way to a server: no other attempt can be made. */
    record RequestBodyClaimed(UpstreamAttempt attempt) implements AttemptEvent {}

    /** The pooled connection of an attempt was of no use; the attempt needs another one. */
    record PooledConnectionFailed(UpstreamAttempt attempt) implements AttemptEvent {}

    /** A connection to a server is closed. */
    record UpstreamConnectionClosed(UpstreamConnection connection) implements ConnectionEvent {}

    /** The descriptor budget is spent: an idle connection to a server is to be closed. */
    record DescriptorBudgetExceeded() implements ConnectionEvent {}

    /** Discovery has sent an endpoint list or a part of one, or could not be reached. */
    record EndpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses)
            implements FleetEvent {}

    /** Discovery has sent a list that is older than a known one; it is not in use. */
    record StaleListReceived(long version) implements FleetEvent {}

    /** This proxy is to check the health of a node. */
    record HealthCheckRequested(NodeId node) implements FleetEvent {}

    /** A health check has ended. */
    record HealthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks)
            implements FleetEvent {}

    /**
     * Operators take a node into maintenance or out of it.
     *
     * @param applied completed once the router knows
     */
    record NodeMaintenanceChanged(NodeId node, boolean enabled, CompletableFuture<Boolean> applied)
            implements FleetEvent {}

    /** The fleet has an event for the router. */
    record RouterEventRaised(Event event) implements FleetEvent {}

    /** The fleet's membership view has changed. */
    record FleetChanged(FleetSnapshot snapshot) implements FleetEvent {}

    /** No content: wakes the owner thread for an urgent event, which is not in the queue. */
    record QueueWakeup() implements ControlEvent {}

    /** The process is to end, and every request is to be answered by this time. */
    record ShutdownRequested(long deadlineTicks) implements ControlEvent {}

    /** The owner thread is to end once it reaches this event. */
    record StopRequested() implements ControlEvent {}
}
