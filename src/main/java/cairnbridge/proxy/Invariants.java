package cairnbridge.proxy;

import java.util.Map;
import java.util.TreeMap;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Conditions that must hold. A violation is an assertion error where assertions are on; elsewhere
 * it is counted, and logged the first time. For the owner thread; the counts may be read once it
 * has ended.
 */
final class Invariants {
    private static final Logger LOG = Logger.getLogger(Invariants.class.getName());
    private final Map<String, Integer> violations = new TreeMap<>();

    /** Records a violation unless the condition holds; returns the condition. */
    boolean check(boolean holds, String invariant) {
        assert holds : invariant;
        if (!holds && violations.merge(invariant, 1, Integer::sum) == 1) {
            LOG.log(Level.SEVERE, "invariant violated: {0}", invariant);
        }
        return holds;
    }

    /** The number of violations by invariant. */
    Map<String, Integer> violations() {
        return violations;
    }
}
