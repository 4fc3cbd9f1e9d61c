package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded queue of events before the owner thread. A full one holds the posting thread back:
 * nothing is dropped.
 */
final class EventQueue
        implements ClientEvents,
                AttemptListener,
                ConnectionListener,
                HealthCheckListener,
                EndpointListListener,
                BudgetListener {
    private final BlockingQueue<ProxyEvent> events;
    private final Queue<ProxyEvent> urgentEvents = new ConcurrentLinkedQueue<>();

    EventQueue(int most) {
        events = new ArrayBlockingQueue<>(most);
    }

    void post(ProxyEvent notice) {
        boolean interrupted = false;
        while (true) {
            try {
                events.put(notice);
                break;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Goes before all that waits; for the few notices on which staff wait. */
    void postUrgent(ProxyEvent notice) {
        urgentEvents.add(notice);
        // Who sleeps on the queue is woken; a full queue wakes by itself.
        events.offer(new ProxyEvent.QueueWakeup());
    }

    ProxyEvent poll() {
        ProxyEvent first = urgentEvents.poll();
        return first != null ? first : events.poll();
    }

    ProxyEvent poll(long nanos) throws InterruptedException {
        ProxyEvent first = urgentEvents.poll();
        return first != null ? first : events.poll(nanos, TimeUnit.NANOSECONDS);
    }

    @Override
    public void requestArrived(ClientExchange exchange, long deadlineTicks) {
        post(new ProxyEvent.RequestArrived(exchange, deadlineTicks));
    }

    @Override
    public void clientDisconnected(ClientExchange exchange) {
        post(new ProxyEvent.ClientDisconnected(exchange));
    }

    @Override
    public void requestBodyCompleted(ClientExchange exchange, long deadlineTicks) {
        post(new ProxyEvent.RequestBodyCompleted(exchange, deadlineTicks));
    }

    @Override
    public void attemptCompleted(
            UpstreamAttempt attempt,
            AttemptOutcome outcome,
            int storeNote,
            byte[] body,
            long endedAtTicks) {
        post(new ProxyEvent.AttemptCompleted(attempt, outcome, storeNote, body, endedAtTicks));
    }

    @Override
    public void responseStreamStarted(UpstreamAttempt attempt, BodyPipe responsePipe) {
        post(new ProxyEvent.ResponseStreamStarted(attempt, responsePipe));
    }

    @Override
    public void requestBodyClaimed(UpstreamAttempt attempt) {
        post(new ProxyEvent.RequestBodyClaimed(attempt));
    }

    @Override
    public void pooledConnectionFailed(UpstreamAttempt attempt) {
        post(new ProxyEvent.PooledConnectionFailed(attempt));
    }

    @Override
    public void connectionClosed(UpstreamConnection connection) {
        post(new ProxyEvent.UpstreamConnectionClosed(connection));
    }

    @Override
    public void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks) {
        post(new ProxyEvent.HealthCheckCompleted(node, outcome, durationTicks));
    }

    @Override
    public void endpointListChanged(
            Event.EndpointListReceived list, Map<NodeId, InetSocketAddress> addresses) {
        post(new ProxyEvent.EndpointListChanged(list, addresses));
    }

    @Override
    public void staleListReceived(long version) {
        post(new ProxyEvent.StaleListReceived(version));
    }

    @Override
    public void descriptorBudgetExceeded() {
        post(new ProxyEvent.DescriptorBudgetExceeded());
    }
}
