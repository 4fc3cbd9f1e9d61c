package cairnbridge.drill.scenario;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The part of each zone's traffic that is served at home, in thousandths, by the epoch of the plan:
 * what a scenario's steps and their reversals are counted by. Any thread may tell; an epoch's first
 * word counts.
 */
public final class HomeParts {
    private final Map<String, TreeMap<Long, Integer>> parts = new ConcurrentHashMap<>();

    /** Notes the part of a zone as of an epoch. */
    public void tell(String zone, long epoch, int part) {
        TreeMap<Long, Integer> own = parts.computeIfAbsent(zone, each -> new TreeMap<>());
        synchronized (own) {
            own.putIfAbsent(epoch, part);
        }
    }

    /** How often a zone's part turned from falling to rising or back, at most over all zones. */
    public int reversals() {
        int most = 0;
        for (TreeMap<Long, Integer> own : parts.values()) {
            List<Integer> course;
            synchronized (own) {
                course = List.copyOf(own.values());
            }
            int turns = 0;
            int way = -1;
            int last = 1000;
            for (int part : course) {
                int now = Integer.signum(part - last);
                turns += now != 0 && now != way ? 1 : 0;
                way = now == 0 ? way : now;
                last = part;
            }
            most = Math.max(most, turns);
        }
        return most;
    }
}
