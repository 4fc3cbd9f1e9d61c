package cairnbridge.zones.plan;

import java.util.Map;
import java.util.TreeMap;

/**
 * Where one zone's traffic is served, in thousandths: by zone, and what is shed at home. They add
 * up to a thousand.
 */
public record Row(Map<Zone, Integer> to, int shed, Why why) {
    public static final int ALL = 1000;

    public Row {
        to = Map.copyOf(to);
        int sum = shed;
        for (int part : to.values()) {
            if (part <= 0) {
                throw new IllegalArgumentException("a part is not over zero");
            }
            sum += part;
        }
        if (shed < 0 || sum != ALL) {
            throw new IllegalArgumentException("the parts add up to " + sum);
        }
    }

    public static Row home(Zone zone) {
        return new Row(Map.of(zone, ALL), 0, Why.WELL);
    }

    public int to(Zone zone) {
        return to.getOrDefault(zone, 0);
    }

    /** In the order of the zones' names, the same at every proxy. */
    public Map<Zone, Integer> ordered() {
        return new TreeMap<>(to);
    }

    /** Whether the traffic goes to the same places in the same parts. */
    public boolean sameParts(Row other) {
        return shed == other.shed && to.equals(other.to);
    }
}
