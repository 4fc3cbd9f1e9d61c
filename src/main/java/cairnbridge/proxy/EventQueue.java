package cairnbridge.proxy;

import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded queue before the owner thread. A full one holds the reactor back: nothing is dropped.
 */
final class EventQueue {
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
}
