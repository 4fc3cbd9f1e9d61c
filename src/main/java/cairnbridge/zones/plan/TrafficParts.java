package cairnbridge.zones.plan;

import java.util.Map;
import java.util.TreeMap;

/** Where one zone's traffic goes, as parts from 0 to 1, while its row of a plan is being made. */
final class TrafficParts {
    /** Parts up to this count as none. */
    static final double EPSILON = 1e-9;

    final Map<Zone, Double> to = new TreeMap<>();
    double shed;
    Why why;

    /** No part anywhere yet. */
    TrafficParts(Why why) {
        this.why = why;
    }

    /** The parts that a row of a plan has. */
    static TrafficParts of(Row row) {
        TrafficParts parts = new TrafficParts(row.why());
        row.to().forEach((zone, part) -> parts.to.put(zone, (double) part / Row.ALL));
        parts.shed = (double) row.shed() / Row.ALL;
        return parts;
    }

    /** The part that goes to a zone. */
    double to(Zone zone) {
        return to.getOrDefault(zone, 0.0);
    }

    /** Adds to the part that goes to a zone. */
    void add(Zone zone, double part) {
        double sum = to(zone) + part;
        if (sum > EPSILON) {
            to.put(zone, sum);
        } else {
            to.remove(zone);
        }
    }

    /** The part that has no place yet and is not shed. */
    double left() {
        return Math.max(0, 1 - shed - to.values().stream().mapToDouble(part -> part).sum());
    }

    /** The same parts, to be changed apart from these. */
    TrafficParts copy() {
        TrafficParts copy = new TrafficParts(why);
        copy.to.putAll(to);
        copy.shed = shed;
        return copy;
    }

    /** The part that by other parts would go where by these it does not. */
    double movedTo(TrafficParts after) {
        double moved = 0;
        for (Map.Entry<Zone, Double> each : after.to.entrySet()) {
            moved += Math.max(0, each.getValue() - to(each.getKey()));
        }
        return moved;
    }

    /**
     * The parts in thousandths that add up: what rounding leaves over stays at home if it can.
     *
     * @param zone whose traffic it is
     */
    Row row(Zone zone) {
        Map<Zone, Integer> rounded = new TreeMap<>();
        int sum = 0;
        for (Map.Entry<Zone, Double> each : to.entrySet()) {
            int part = (int) Math.floor(each.getValue() * Row.ALL + 1e-6);
            if (part > 0) {
                rounded.put(each.getKey(), part);
                sum += part;
            }
        }
        int shedThousandths = Math.max(0, (int) Math.floor(shed * Row.ALL + 1e-6));
        int remainder = Row.ALL - sum - shedThousandths;
        Zone largest =
                rounded.entrySet().stream()
                        .max(
                                Map.Entry.<Zone, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse(null);
        if (rounded.containsKey(zone)) {
            rounded.merge(zone, remainder, Integer::sum);
        } else if (shedThousandths > 0 || largest == null) {
            shedThousandths += remainder;
        } else {
            rounded.merge(largest, remainder, Integer::sum);
        }
        return new Row(rounded, shedThousandths, why);
    }
}
