package cairnbridge.proxy;

import java.util.Queue;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * The bounded queue before the owner thread. A full one holds the reactor back: nothing is dropped.
 */
final class Inbox {
    private final BlockingQueue<Notice> queue;
    private final Queue<Notice> urgent = new ConcurrentLinkedQueue<>();

    Inbox(int most) {
        queue = new ArrayBlockingQueue<>(most);
    }

    void post(Notice notice) {
        boolean interrupted = false;
        while (true) {
            try {
                queue.put(notice);
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
    void first(Notice notice) {
        urgent.add(notice);
        // Who sleeps on the queue is woken; a full queue wakes by itself.
        queue.offer(new Notice.Woken());
    }

    Notice poll() {
        Notice first = urgent.poll();
        return first != null ? first : queue.poll();
    }

    Notice poll(long nanos) throws InterruptedException {
        Notice first = urgent.poll();
        return first != null ? first : queue.poll(nanos, TimeUnit.NANOSECONDS);
    }
}
