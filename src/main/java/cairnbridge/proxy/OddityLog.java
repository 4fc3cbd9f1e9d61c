package cairnbridge.proxy;

import java.util.HashSet;
import java.util.Set;
import java.util.logging.Logger;

/**
 * Says each oddity of what others wrote once, and not more than some: a log is no place for a
 * thousand.
 */
final class OddityLog {
    private static final int MOST = 20;
    private final Logger log;
    private final String where;
    private final Set<String> said = new HashSet<>();

    OddityLog(Logger log, String where) {
        this.log = log;
        this.where = where;
    }

    void say(String what) {
        if (said.size() < MOST && said.add(what)) {
            log.warning(where + ": " + what);
        }
    }
}
