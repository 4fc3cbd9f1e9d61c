package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** What socket code tells the owner thread, through its queue and no other way. */
sealed interface Notice {
    /** A request has arrived. */
    record Arrived(Exchange client, long expires) implements Notice {}

    /** A client has gone. */
    record Left(Exchange client) implements Notice {}

    /** body is the answer's bytes where the ending is ACKED; ended is the time of its last byte. */
    record PushOver(PushCall call, AttemptOutcome ending, int note, byte[] body, long ended)
            implements Notice {}

    /**
     * An answer has begun that is too long to be gathered; what has come of it waits in its pipe.
     */
    record Streams(PushCall call, Pipe answer) implements Notice {}

    /** The op's body is on its way to a node and is not kept: no other push can be made. */
    record Spent(PushCall call) implements Notice {}

    /** A body that passes through has come to its last byte, from which the op's TTL runs. */
    record BodyEnded(Exchange client, long expires) implements Notice {}

    /** The kept connection that was to carry the push was of no use; the push waits for another. */
    record Unsent(PushCall call) implements Notice {}

    /** A connection to a node is closed. */
    record ConnectionClosed(Connection connection) implements Notice {}

    /** An endpoint list has come. */
    record Listed(Event.EndpointListReceived roster, Map<NodeId, InetSocketAddress> addresses)
            implements Notice {}

    /** A probe has ended. */
    record Probed(NodeId node, AttemptOutcome ending, long took) implements Notice {}

    /** The socket budget is spent: an idle connection to a node makes room. */
    record Crowded() implements Notice {}

    /** Staff take a node out or put it back; done is told once the module knows. */
    record Held(NodeId node, boolean on, CompletableFuture<Boolean> done) implements Notice {}

    /** What the fleet's view tells the module. */
    record Hint(Event event) implements Notice {}

    /** What is seen of the fleet. */
    record Seen(FleetSnapshot sight) implements Notice {}

    /** Discovery tells a list that is older than one that was known; it is not in use. */
    record Older(long version) implements Notice {}

    /** It is this proxy's turn to ask a node how it fares. */
    record Asked(NodeId node) implements Notice {}

    /** Says nothing: one that is more urgent waits beside the queue. */
    record Woken() implements Notice {}

    /** The process is to end, and no op may be kept beyond this time. */
    record StopBy(long time) implements Notice {}

    /** The owner thread is to end here. */
    record Last() implements Notice {}
}
