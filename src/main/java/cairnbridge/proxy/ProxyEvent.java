package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** What socket code tells the owner thread, through its queue and no other way. */
sealed interface ProxyEvent {
    /** A request has arrived. */
    record RequestArrived(ClientExchange exchange, long deadlineTicks) implements ProxyEvent {}

    /** A client has gone. */
    record ClientDisconnected(ClientExchange exchange) implements ProxyEvent {}

    /** body is the answer's bytes where the ending is ACKED; ended is the time of its last byte. */
    record AttemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int storeNote,
            byte[] body,
            long endedAtTicks)
            implements ProxyEvent {}

    /**
     * An answer has begun that is too long to be gathered; what has come of it waits in its pipe.
     */
    record ResponseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe)
            implements ProxyEvent {}

    /** The op's body is on its way to a node and is not kept: no other push can be made. */
    record RequestBodyClaimed(UpstreamAttempt attempt) implements ProxyEvent {}

    /** A body that passes through has come to its last byte, from which the op's TTL runs. */
    record RequestBodyCompleted(ClientExchange exchange, long deadlineTicks)
            implements ProxyEvent {}

    /** The kept connection that was to carry the push was of no use; the push waits for another. */
    record PooledConnectionFailed(UpstreamAttempt attempt) implements ProxyEvent {}

    /** A connection to a node is closed. */
    record UpstreamConnectionClosed(UpstreamConnection connection) implements ProxyEvent {}

    /** An endpoint list has come. */
    record EndpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses)
            implements ProxyEvent {}

    /** A probe has ended. */
    record HealthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks)
            implements ProxyEvent {}

    /** The socket budget is spent: an idle connection to a node makes room. */
    record DescriptorBudgetExceeded() implements ProxyEvent {}

    /** Staff take a node out or put it back; done is told once the module knows. */
    record NodeMaintenanceChanged(NodeId node, boolean enabled, CompletableFuture<Boolean> applied)
            implements ProxyEvent {}

    /** What the fleet's view tells the module. */
    record RouterEventRaised(Event event) implements ProxyEvent {}

    /** What is seen of the fleet. */
    record FleetChanged(FleetSnapshot snapshot) implements ProxyEvent {}

    /** Discovery tells a list that is older than one that was known; it is not in use. */
    record StaleListReceived(long version) implements ProxyEvent {}

    /** It is this proxy's turn to ask a node how it fares. */
    record HealthCheckRequested(NodeId node) implements ProxyEvent {}

    /** Says nothing: one that is more urgent waits beside the queue. */
    record QueueWakeup() implements ProxyEvent {}

    /** The process is to end, and no op may be kept beyond this time. */
    record ShutdownRequested(long deadlineTicks) implements ProxyEvent {}

    /** The owner thread is to end here. */
    record StopRequested() implements ProxyEvent {}
}
