package cairnbridge.proxy;

import java.util.concurrent.ThreadFactory;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Creates the threads without which a proxy cannot work. If one of them ends before the proxy is
 * stopping, that is logged and the handler of fatal errors runs on the ending thread. Any thread
 * may call this class.
 */
final class CriticalThreads implements ThreadFactory {
    private static final Logger LOG = Logger.getLogger(CriticalThreads.class.getName());

    private final String proxyName;
    private final Runnable onFatalError;
    private volatile boolean stopping;

    /**
     * Creates a factory for the critical threads of one proxy.
     *
     * @param proxyName the proxy's name in log lines
     * @param onFatalError runs on each thread that ends before the proxy is stopping
     */
    CriticalThreads(String proxyName, Runnable onFatalError) {
        this.proxyName = proxyName;
        this.onFatalError = onFatalError;
    }

    /** Creates a daemon thread whose end before the proxy is stopping is a fatal error. */
    @Override
    public Thread newThread(Runnable task) {
        Thread thread = new Thread(() -> runCritically(task));
        thread.setDaemon(true);
        return thread;
    }

    /**
     * Runs a task and reports its unexpected end. Guards against a proxy that stays up without
     * serving requests: the HTTP library ends a thread on some faults.
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

    /** Marks the proxy as stopping: from now on a thread that ends is no error. */
    void markStopping() {
        stopping = true;
    }

    /** Whether the proxy is stopping, so that a thread that ends is no error. */
    boolean isStopping() {
        return stopping;
    }
}
