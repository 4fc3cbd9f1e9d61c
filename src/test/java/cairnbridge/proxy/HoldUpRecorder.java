package cairnbridge.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Records when this process was held up, by how late a thread wakes up that only sleeps. Times are
 * values of {@link System#nanoTime}. Thread-safe.
 */
final class HoldUpRecorder {
    private static final long SLEEP_MILLIS = 2;
    private static final long MIN_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** A time span in which the thread should have woken up and did not. */
    record HoldUp(long fromNanos, long toNanos) {
        /** The length of the part between two times, in milliseconds. */
        long millisBetween(long startNanos, long endNanos) {
            long from = Math.max(fromNanos, startNanos);
            long to = Math.min(toNanos, endNanos);
            return TimeUnit.NANOSECONDS.toMillis(Math.max(0, to - from));
        }
    }

    private final List<HoldUp> holdUps = new CopyOnWriteArrayList<>();

    private HoldUpRecorder() {}

    /** Starts a recorder that runs until the process ends, and passes each hold-up on. */
    static HoldUpRecorder start(Consumer<HoldUp> listener) {
        HoldUpRecorder recorder = new HoldUpRecorder();
        ProxyTestSupport.daemon(
                () -> {
                    recorder.run(listener);
                    return null;
                });
        return recorder;
    }

    private void run(Consumer<HoldUp> listener) throws InterruptedException {
        while (true) {
            long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SLEEP_MILLIS);
            Thread.sleep(SLEEP_MILLIS);
            long wokenNanos = System.nanoTime();
            if (wokenNanos - dueNanos > MIN_DELAY_NANOS) {
                HoldUp holdUp = new HoldUp(dueNanos, wokenNanos);
                holdUps.add(holdUp);
                listener.accept(holdUp);
            }
        }
    }

    /** For how long this process was held up between two times, in milliseconds. */
    long heldUpMillis(long fromNanos, long toNanos) {
        return holdUps.stream().mapToLong(each -> each.millisBetween(fromNanos, toNanos)).sum();
    }
}
