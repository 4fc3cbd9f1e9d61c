package cairnbridge.proxy;

import java.text.MessageFormat;
import java.util.HashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Logs each warning once, and no more than some: guards against a log that is filled by what others
 * write. It has no lock: its owner calls it on one thread at a time.
 */
final class DeduplicatedLog {
    private static final int MAX_MESSAGES = 20;

    private final Logger log;
    private final String prefix;
    private final Set<String> reported = new HashSet<>();

    /**
     * Logs nothing yet.
     *
     * @param prefix what each line starts with, before a colon
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
        if (reported.size() < MAX_MESSAGES && reported.add(text)) {
            log.log(Level.WARNING, "{0}: {1}", new Object[] {prefix, text});
        }
    }
}
