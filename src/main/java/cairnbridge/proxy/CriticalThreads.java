package cairnbridge.proxy;

import java.util.concurrent.ThreadFactory;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Makes the threads without which a proxy cannot work. If one of them ends before the proxy is told
 * to stop, that is logged and the handler of fatal errors runs on it. Any thread may call it.
 */
final class CriticalThreads implements ThreadFactory {
    private static final Logger LOG = Logger.getLogger(CriticalThreads.class.getName());

    private final String proxyName;
    private final Runnable onFatalError;
    private volatile boolean stopping;

    /**
     * Makes no thread yet.
     *
     * @param proxyName the proxy as log lines name it
     * @param onFatalError runs on each thread that ends too early
     */
    CriticalThreads(String proxyName, Runnable onFatalError) {
        this.proxyName = proxyName;
        this.onFatalError = onFatalError;
    }

    /** A daemon thread, not yet started, whose early end is a fatal error. */
    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(() -> runCritically(task));
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Guards against a proxy that is up but serves nobody: the library ends a thread on some
     * faults.
     */
    private void runCritically(Runnable task) {
        try {
            task.run();
        } finally {
            if (!stopping) {
                LOG.log(Level.SEVERE, "{0} failed: a critical thread has ended", proxyName);
                onFatalError.run();
            }
        }
    }

    /** From now on the proxy is stopping, and a thread that ends is no error. */
    void allowEnds() {
        stopping = true;
    }

    /** Whether threads may end because the proxy is stopping. */
    boolean isStopping() {
        return stopping;
    }
}
