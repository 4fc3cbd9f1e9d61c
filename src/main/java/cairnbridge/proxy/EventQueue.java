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
 * The bounded queue of events for the coordinator thread. Any thread may post an event, and waits
 * while the queue is full; no event is dropped. Only the coordinator thread polls.
 */
final class EventQueue
        implements ClientEvents,
                AttemptListener,
                ConnectionListener,
                HealthCheckListener,
                EndpointListListener,
                DescriptorBudgetListener {
    private final BlockingQueue<ProxyEvent> events;
    private final Queue<ProxyEvent> urgentEvents = new ConcurrentLinkedQueue<>();

    /**
     * Creates an empty queue.
     *
     * @param capacity the most events that can be queued, not counting urgent ones
     */
    EventQueue(int capacity) {
        events = new ArrayBlockingQueue<>(capacity);
    }

    /** Adds an event; waits while the queue is full, even if the thread is interrupted. */
    void post(ProxyEvent event) {
        boolean interrupted = false;
        while (true) {
            try {
                events.put(event);
                break;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Adds an event that is polled before all events that are not urgent; does not wait. */
    void postUrgent(ProxyEvent event) {
        urgentEvents.add(event);
        wakeCoordinator();
    }

    private void wakeCoordinator() {
        // A full queue needs no wake-up: the coordinator thread does not wait while it has events.
        events.offer(new ProxyEvent.QueueWakeup());
    }

    /** Removes and returns the next event, urgent ones first; null if there is none. */
    ProxyEvent poll() {
        ProxyEvent urgent = urgentEvents.poll();
        return urgent != null ? urgent : events.poll();
    }

    /**
     * Removes and returns the next event, urgent ones first, and waits for one if there is none.
     *
     * @param maxWaitNanos the longest wait
     * @return null if no event was posted in that time
     */
    ProxyEvent poll(long maxWaitNanos) throws InterruptedException {
        ProxyEvent urgent = urgentEvents.poll();
        return urgent != null ? urgent : events.poll(maxWaitNanos, TimeUnit.NANOSECONDS);
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
            int cacheStatus,
            byte[] body,
            long endedAtTicks) {
        post(new ProxyEvent.AttemptCompleted(attempt, outcome, cacheStatus, body, endedAtTicks));
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
