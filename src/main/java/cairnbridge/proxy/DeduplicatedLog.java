package cairnbridge.proxy;

import java.util.HashSet;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Says each oddity of what others wrote once, and not more than some: a log is no place for a
 * thousand.
 */
final class DeduplicatedLog {
    private static final int MAX_MESSAGES = 20;
    private final Logger log;
    private final String prefix;
    private final Set<String> reported = new HashSet<>();

    DeduplicatedLog(Logger log, String where) {
        this.log = log;
        this.prefix = where;
    }

    void warnOnce(String what) {
        if (reported.size() < MAX_MESSAGES && reported.add(what)) {
            log.warning(prefix + ": " + what);
        }
    }
}
