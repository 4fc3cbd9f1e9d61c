package cairnbridge.fleet.coordination;

import cairnbridge.time.Ticks;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The nodes, or zones, that this proxy cannot reach, according to its own attempts and health
 * checks: several in a row got no connection or no answer, and none has got one since. Failures
 * older than {@link #MAX_AGE} do not count.
 */
public final class ReachabilityReport {
    private static final long MAX_AGE = 10 * Ticks.SECOND;

    private static final class Failures {
        int count;
        long lastAt;
    }

    private final int threshold;
    private final Map<Long, Failures> failures = new HashMap<>();

    /** Creates a report in which this many failures in a row make a node unreachable. */
    public ReachabilityReport(int threshold) {
        this.threshold = threshold;
    }

    /** Forgets all nodes except these. */
    public void retain(Collection<Long> known) {
        failures.keySet().retainAll(known);
    }

    /**
     * Records the outcome of an attempt.
     *
     * @param reached whether the node sent any answer, including an error
     */
    public void record(long node, boolean reached, long now) {
        if (reached) {
            failures.remove(node);
            return;
        }
        Failures nodeFailures = failures.computeIfAbsent(node, id -> new Failures());
        nodeFailures.count++;
        nodeFailures.lastAt = now;
    }

    /** The unreachable nodes, the one with the latest failure first. */
    public List<Long> unreachable(long now) {
        failures.values().removeIf(each -> now - each.lastAt > MAX_AGE);
        Comparator<Map.Entry<Long, Failures>> byTime =
                Comparator.comparingLong(entry -> entry.getValue().lastAt);
        return failures.entrySet().stream()
                .filter(entry -> entry.getValue().count >= threshold)
                .sorted(byTime.reversed())
                .map(Map.Entry::getKey)
                .toList();
    }
}
