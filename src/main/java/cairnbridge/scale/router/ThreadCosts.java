package cairnbridge.scale.router;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;

/**
 * What the calling thread has used between two moments; work of the collector's threads is not in
 * it.
 *
 * @param nanoseconds processor time
 * @param bytes allocated on the heap
 */
record ThreadCosts(long nanoseconds, long bytes) {
    private static final ThreadMXBean THREADS = (ThreadMXBean) ManagementFactory.getThreadMXBean();

    /** All that the calling thread has used so far. */
    static ThreadCosts soFar() {
        return new ThreadCosts(
                THREADS.getCurrentThreadCpuTime(), THREADS.getCurrentThreadAllocatedBytes());
    }

    static ThreadCosts of(Runnable work) {
        ThreadCosts before = soFar();
        work.run();
        ThreadCosts after = soFar();
        return new ThreadCosts(after.nanoseconds - before.nanoseconds, after.bytes - before.bytes);
    }
}
