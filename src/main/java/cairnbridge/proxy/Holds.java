package cairnbridge.proxy;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Logger;

/**
 * What must hold: asserted in debug builds, counted in release builds and said in the log, each
 * once.
 */
final class Holds {
    private static final Logger LOG = Logger.getLogger(Holds.class.getName());
    private final Map<String, Integer> broken = new TreeMap<>();

    /** Owner thread only. */
    boolean that(boolean held, String what) {
        assert held : what;
        if (!held && broken.merge(what, 1, Integer::sum) == 1) {
            LOG.severe("does not hold: " + what);
        }
        return held;
    }

    Map<String, Integer> broken() {
        return broken;
    }
}
