package cairnbridge.zones.plan;

import java.util.Map;
import java.util.TreeMap;

/**
 * Where each zone's traffic is served, agreed on by number. A zone without a row serves its own.
 * Never changed.
 *
 * @param epoch goes up by one with each plan that is made on the one before
 * @param rows zones whose traffic is not all served at home
 * @param drained zones that staff have emptied, and until when at least, in Unix milliseconds
 * @param maker the member that proposed it
 */
public record Plan(long epoch, Map<Zone, Row> rows, Map<Zone, Long> drained, String maker) {
    public static final Plan FIRST = new Plan(0, Map.of(), Map.of(), "");

    public Plan {
        rows = Map.copyOf(rows);
        drained = Map.copyOf(drained);
    }

    /** The same, as if it had been made after the plan of that epoch, where its own is lower. */
    public Plan notBelow(long floor) {
        return epoch >= floor ? this : new Plan(floor + 1, rows, drained, maker);
    }

    public Row row(Zone zone) {
        Row row = rows.get(zone);
        return row == null ? Row.home(zone) : row;
    }

    /** Rows in the order of the zones' names. */
    public Map<Zone, Row> ordered() {
        return new TreeMap<>(rows);
    }

    public boolean sameAs(Plan other) {
        if (!drained.equals(other.drained) || !rows.keySet().equals(other.rows.keySet())) {
            return false;
        }
        return rows.entrySet().stream()
                .allMatch(each -> each.getValue().sameParts(other.rows.get(each.getKey())));
    }
}
