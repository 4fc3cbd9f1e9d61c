package cairnbridge.proxy;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/** The bounded queue before the owner thread. A full one holds the reactor back: nothing is dropped. */
final class Inbox {
    private final BlockingQueue<Notice> queue;

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

    Notice poll() {
        return queue.poll();
    }

    Notice poll(long nanos) throws InterruptedException {
        return queue.poll(nanos, TimeUnit.NANOSECONDS);
    }
}
