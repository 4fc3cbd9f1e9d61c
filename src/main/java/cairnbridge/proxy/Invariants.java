package cairnbridge.proxy;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Logger;

/**
 * What must hold: asserted in debug builds, counted in release builds and said in the log, each
 * once.
 */
final class Invariants {
    private static final Logger LOG = Logger.getLogger(Invariants.class.getName());
    private final Map<String, Integer> violations = new TreeMap<>();

    /** Owner thread only. */
    boolean check(boolean held, String what) {
        assert held : what;
        if (!held && violations.merge(what, 1, Integer::sum) == 1) {
            LOG.severe("does not hold: " + what);
        }
        return held;
    }

    Map<String, Integer> violations() {
        return violations;
    }
}
