package cairnbridge.drill.scenario;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What a drill does: how large the fleet is and what it is told, then steps in order.
 *
 * @param members proxies, named p1, p2 and so on
 * @param seeds the members whom all others ask at their join
 * @param zones proxies and caches are dealt out to them in turn
 * @param caches cache nodes, named c1, c2 and so on; 0 for none, and then no load
 * @param load ops a second over all clients, from the start on
 * @param seed of all chance in the relay and the clients
 * @param together whether a fleet is kept at all; off for a baseline
 * @param size how many times as large as it was written; the origin's room grows with it, and what
 *     plans over zones move at a time
 * @param keys further lines for each member's operator's file, by key with its table
 */
public record Scenario(
        String title,
        int members,
        List<String> seeds,
        List<String> zones,
        int caches,
        int load,
        long seed,
        boolean together,
        Map<String, String> keys,
        List<Step> steps,
        int size) {

    /**
     * The same with so many times as many members and caches, and as much load and room at the
     * origin.
     */
    public Scenario times(int times) {
        return times == 1
                ? this
                : new Scenario(
                        title,
                        members * times,
                        seeds,
                        zones,
                        caches * times,
                        load * times,
                        seed,
                        together,
                        keysTimes(times),
                        steps.stream().map(step -> step.times(times, members, caches)).toList(),
                        size * times);
    }

    /** What one step of a plan may move is the origin's to bear, and grows with its room. */
    private Map<String, String> keysTimes(int times) {
        Map<String, String> larger = new LinkedHashMap<>(keys);
        larger.computeIfPresent(
                "zones.origin-fetches-per-s",
                (key, value) -> String.valueOf(Double.parseDouble(value) * times));
        return larger;
    }
}
