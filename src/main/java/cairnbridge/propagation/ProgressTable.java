package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Adds up what is reported of sites: for each the members by the latest position in force. */
final class ProgressTable {
    /** With more positions at one site, some members are reported with less than they have. */
    static final int MAX_STEPS = 4;

    private final Map<String, TreeMap<Position, Long>> sites = new HashMap<>();

    /** Members count at the latest position that anyone reports of them. */
    void add(SiteProgress progress) {
        TreeMap<Position, Long> steps =
                sites.computeIfAbsent(progress.site(), site -> new TreeMap<>());
        progress.steps()
                .forEach(step -> steps.merge(step.position(), step.members(), (a, b) -> a | b));
    }

    /** All sites, each with as many steps as a report may have. */
    List<SiteProgress> sites() {
        List<SiteProgress> all = new ArrayList<>();
        sites.forEach((site, steps) -> all.add(new SiteProgress(site, limitSteps(distinct(steps)))));
        return all;
    }

    /** The members of a site that have a position or a later one in force. */
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

    /** Joins the smallest step to the one below it until few are left. */
    private static List<SiteProgress.Step> limitSteps(List<SiteProgress.Step> steps) {
        List<SiteProgress.Step> fewer = new ArrayList<>(steps);
        while (fewer.size() > MAX_STEPS) {
            int smallest = 0;
            for (int i = 1; i < fewer.size() - 1; i++) {
                if (count(fewer.get(i)) < count(fewer.get(smallest))) {
                    smallest = i;
                }
            }
            SiteProgress.Step above = fewer.remove(smallest);
            SiteProgress.Step below = fewer.get(smallest);
            long both = above.members() | below.members();
            fewer.set(smallest, new SiteProgress.Step(below.position(), both));
        }
        return fewer;
    }

    private static int count(SiteProgress.Step step) {
        return Long.bitCount(step.members());
    }
}
