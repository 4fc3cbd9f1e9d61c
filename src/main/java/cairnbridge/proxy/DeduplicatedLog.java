package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.text.MessageFormat;
import java.util.HashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs each distinct warning once, up to a limit. Guards against a log that is filled with warnings
 * about faulty input from discovery or from shared files. Thread-safe: the threads that start and
 * drain the proxy, the scheduler and the admin endpoint share one.
 */
final class DeduplicatedLog {
    private static final int MAX_MESSAGES = 20;

    private final Logger log;
    private final String prefix;

    @GuardedBy("this")
    private final Set<String> reported = new HashSet<>();

    /**
     * Creates a log that has not reported any warning.
     *
     * @param prefix the start of each line, followed by a colon
     */
    DeduplicatedLog(Logger log, String prefix) {
        this.log = log;
        this.prefix = prefix;
    }

    /**
     * Logs a warning, unless the same text was logged before or the limit is reached.
     *
     * @param message a text with {0}, {1} and so on for the parameters; plain text if there are
     *     none
     */
    void warnOnce(String message, Object... parameters) {
        String text = parameters.length == 0 ? message : MessageFormat.format(message, parameters);
        if (addReported(text)) {
            log.log(Level.WARNING, "{0}: {1}", new Object[] {prefix, text});
        }
    }

    private synchronized boolean addReported(String text) {
        return reported.size() < MAX_MESSAGES && reported.add(text);
    }
}
