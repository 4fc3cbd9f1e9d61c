package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Merges progress reports of sites: for each site, the members by the position they have in force.
 */
final class ProgressTable {
    /**
     * The maximum number of positions reported per site. If a site has more, some members are
     * reported at an earlier position than they have in force.
     */
    static final int MAX_STEPS = 4;

    private final Map<String, TreeMap<Position, Long>> sites = new HashMap<>();

    /** Adds a report. A member reported at several positions counts at the latest of them. */
    void add(SiteProgress progress) {
        TreeMap<Position, Long> steps =
                sites.computeIfAbsent(progress.site(), site -> new TreeMap<>());
        progress.steps()
                .forEach(step -> steps.merge(step.position(), step.members(), (a, b) -> a | b));
    }

    /** The progress of all sites, each with at most {@link #MAX_STEPS} steps. */
    List<SiteProgress> sites() {
        List<SiteProgress> all = new ArrayList<>();
        sites.forEach(
                (site, steps) -> all.add(new SiteProgress(site, limitSteps(distinct(steps)))));
        return all;
    }

    /** The bit set of a site's members that have this position or a later one in force. */
    long membersAt(String site, Position position) {
        NavigableMap<Position, Long> steps = sites.getOrDefault(site, new TreeMap<>());
        return steps.tailMap(position, true).values().stream().reduce(0L, (a, b) -> a | b);
    }

    private static List<SiteProgress.Step> distinct(NavigableMap<Position, Long> steps) {
        List<SiteProgress.Step> distinct = new ArrayList<>();
        long seen = 0;
        for (Map.Entry<Position, Long> step : steps.descendingMap().entrySet()) {
            long members = step.getValue() & ~seen;
            seen |= members;
            if (members != 0) {
                distinct.add(new SiteProgress.Step(step.getKey(), members));
            }
        }
        return distinct;
    }

    /**
     * Repeatedly merges the step with the fewest members into the next earlier position, until at
     * most {@link #MAX_STEPS} are left.
     */
    private static List<SiteProgress.Step> limitSteps(List<SiteProgress.Step> steps) {
        List<SiteProgress.Step> limited = new ArrayList<>(steps);
        while (limited.size() > MAX_STEPS) {
            int smallest = 0;
            for (int i = 1; i < limited.size() - 1; i++) {
                if (count(limited.get(i)) < count(limited.get(smallest))) {
                    smallest = i;
                }
            }
            SiteProgress.Step above = limited.remove(smallest);
            SiteProgress.Step below = limited.get(smallest);
            long both = above.members() | below.members();
            limited.set(smallest, new SiteProgress.Step(below.position(), both));
        }
        return limited;
    }

    private static int count(SiteProgress.Step step) {
        return Long.bitCount(step.members());
    }
}
