package cairnbridge.proxy;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Checks conditions that must hold at run time. A violation throws an assertion error if assertions
 * are enabled; otherwise it is counted, and logged the first time. Used only by the coordinator
 * thread; other threads may read the counts once that thread has ended.
 */
final class Invariants {
    private static final Logger LOG = Logger.getLogger(Invariants.class.getName());
    private final Map<String, Integer> violations = new TreeMap<>();

    /** Records a violation unless the condition holds; returns whether it holds. */
    boolean check(boolean holds, String invariant) {
        assert holds : invariant;
        if (!holds && violations.merge(invariant, 1, Integer::sum) == 1) {
            LOG.log(Level.SEVERE, "invariant violated: {0}", invariant);
        }
        return holds;
    }

    /** The number of violations of each invariant that was violated. */
    Map<String, Integer> violations() {
        return violations;
    }
}
