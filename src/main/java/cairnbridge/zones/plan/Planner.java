package cairnbridge.zones.plan;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Makes the next plan out of the present one and what is known. Ask it for one whenever a step may
 * be due; what it keeps between calls is how long ago each zone's traffic was moved away, so that
 * who takes over begins with a hold. No clock, no I/O; times in tenths of a millisecond.
 *
 * <p>Two things are settled apart: where all would go if it could go at once (the aim), and how
 * much of the way one step goes. A zone's room is planned beyond by neither. While a plan spreads
 * some members are on the old one and some on the new, so each zone has to bear the larger part of
 * both from every other.
 */
public final class Planner {
    /** Less than this is not worth a plan, in thousandths of a zone's traffic. */
    private static final int LEAST = 10;

    private final PlanSettings settings;
    private final PlanAims aims;
    private final Map<Zone, Long> awayAt = new HashMap<>();
    private final long begun;
    private long steppedAt = Long.MIN_VALUE / 2;

    public Planner(PlanSettings settings, long now) {
        this.settings = settings;
        aims = new PlanAims(settings);
        begun = now;
    }

    /** Whether so much time has gone by that a step may be made. */
    public boolean isDue(long now) {
        return now - steppedAt >= settings.stepEvery();
    }

    /**
     * The plan that should follow, with the next epoch, or the present one itself where nothing is
     * to be moved.
     *
     * @param drained what staff have emptied, and until when at least
     */
    public Plan next(
            Plan present, List<ZoneInput> inputs, Map<Zone, Long> drained, String maker, long now) {
        Map<Zone, ZoneInput> zones = new TreeMap<>();
        inputs.forEach(input -> zones.put(input.zone(), input));
        for (ZoneInput zone : zones.values()) {
            if (!PlanAims.bears(zone, drained)) {
                awayAt.put(zone.zone(), now); // It has to be well for the whole of the hold.
            }
        }
        Map<Zone, TrafficParts> held = new TreeMap<>();
        zones.keySet().forEach(zone -> held.put(zone, TrafficParts.of(present.row(zone))));
        Map<Zone, TrafficParts> from = new TreeMap<>();
        zones.keySet().forEach(zone -> from.put(zone, withoutTheLost(held.get(zone), zones)));
        relieve(from, zones);
        Map<Zone, TrafficParts> aimed = aims.aims(from, zones, drained);
        Map<Zone, TrafficParts> steps = new TreeMap<>();
        double mayMove = settings.movedPerStep();
        for (ZoneInput zone : zones.values()) {
            TrafficParts step =
                    step(zone, from.get(zone.zone()), aimed.get(zone.zone()), mayMove, now);
            mayMove = Math.max(0, mayMove - from.get(zone.zone()).movedTo(step) * zone.demand());
            steps.put(zone.zone(), step);
        }
        PlanOverlap.fit(held, zones, steps);
        Map<Zone, Row> rows = new HashMap<>();
        for (Map.Entry<Zone, TrafficParts> each : steps.entrySet()) {
            Row row = each.getValue().row(each.getKey());
            Row before = present.row(each.getKey());
            row = differs(row, before) ? row : before;
            if (!row.sameParts(Row.home(each.getKey()))) {
                rows.put(each.getKey(), row);
            }
        }
        Plan next = new Plan(present.epoch() + 1, rows, drained, maker);
        return next.sameAs(present) ? present : next;
    }

    /**
     * A plan has been agreed on: the spans until the next step, and until the way back, run from
     * now.
     */
    public void agreed(Plan before, Plan plan, long now) {
        steppedAt = now;
        for (Zone zone : plan.rows().keySet()) {
            if (plan.row(zone).to(zone) < before.row(zone).to(zone)) {
                awayAt.put(zone, now);
            }
        }
    }

    /** Guards against plans that follow every breath of the demand. */
    private static boolean differs(Row row, Row held) {
        int moved = Math.abs(row.shed() - held.shed());
        for (Zone zone : row.to().keySet()) {
            moved += Math.abs(row.to(zone) - held.to(zone));
        }
        for (Zone zone : held.to().keySet()) {
            moved += row.to(zone) == 0 ? held.to(zone) : 0;
        }
        boolean ends =
                row.shed() == 0 && held.shed() > 0 || !row.to().keySet().equals(held.to().keySet());
        return moved >= 2 * LEAST || ends && moved > 0;
    }

    /**
     * The present row; what goes to a zone that is gone is turned away at once, until it has
     * another place.
     */
    private static TrafficParts withoutTheLost(TrafficParts held, Map<Zone, ZoneInput> zones) {
        TrafficParts parts = held.copy();
        for (Zone to : List.copyOf(parts.to.keySet())) {
            if (!PlanAims.serves(zones.get(to))) {
                parts.shed += parts.to.remove(to);
                parts.why = Why.GONE;
            }
        }
        return parts;
    }

    /**
     * A zone whose room has shrunk is not sent what it cannot bear until others have room: that is
     * turned away.
     */
    private static void relieve(Map<Zone, TrafficParts> from, Map<Zone, ZoneInput> zones) {
        Map<Zone, Double> foreign = new HashMap<>();
        from.forEach(
                (zone, parts) ->
                        parts.to.forEach(
                                (to, part) -> {
                                    if (!to.equals(zone)) {
                                        foreign.merge(
                                                to, part * zones.get(zone).demand(), Double::sum);
                                    }
                                }));
        foreign.forEach(
                (to, sent) -> {
                    ZoneInput target = zones.get(to);
                    double bears =
                            Math.max(0, target.room() - from.get(to).to(to) * target.demand());
                    if (sent > bears * 1.05 + 1) {
                        from.forEach(
                                (zone, parts) -> {
                                    if (!zone.equals(to) && parts.to(to) > 0) {
                                        double less = parts.to(to) * (1 - bears / sent);
                                        parts.add(to, -less);
                                        parts.shed += less;
                                    }
                                });
                    }
                });
    }

    private TrafficParts step(
            ZoneInput zone, TrafficParts held, TrafficParts aim, double mayMove, long now) {
        Zone home = zone.zone();
        boolean back = aim.to(home) > held.to(home) + TrafficParts.EPSILON;
        boolean waits = back && now - awayAt.getOrDefault(home, begun) < settings.hold();
        TrafficParts wanted = waits ? withHome(held, aim, home) : aim;
        double moved = held.movedTo(wanted);
        if (moved <= TrafficParts.EPSILON
                && Math.abs(held.shed - wanted.shed) <= TrafficParts.EPSILON) {
            TrafficParts same = held.copy();
            same.why = waits ? held.why : aim.why;
            return same;
        }
        // Guards against ops shed for seconds that others had room for: of a zone that is gone all
        // moves at
        // once, as far as the origin bears it.
        double most =
                aim.why == Why.GONE
                        ? 1
                        : back && !waits ? settings.stepBack() : settings.stepAway();
        if (zone.demand() > 0) {
            most = Math.min(most, mayMove / zone.demand());
        }
        double part = moved <= most ? 1 : most / moved;
        TrafficParts step = new TrafficParts(aim.why);
        step.shed = held.shed + part * (wanted.shed - held.shed);
        held.to.forEach((to, share) -> step.add(to, share * (1 - part)));
        wanted.to.forEach((to, share) -> step.add(to, share * part));
        return step;
    }

    /**
     * The aim, but for the part at home, which stays as it is; the others make up the rest as they
     * would.
     */
    private static TrafficParts withHome(TrafficParts held, TrafficParts aim, Zone home) {
        TrafficParts parts = new TrafficParts(aim.why);
        double others =
                aim.shed
                        + aim.to.entrySet().stream()
                                .filter(each -> !each.getKey().equals(home))
                                .mapToDouble(Map.Entry::getValue)
                                .sum();
        double rest = 1 - held.to(home);
        double scale = others <= TrafficParts.EPSILON ? 0 : Math.min(1, rest / others);
        parts.add(home, held.to(home));
        aim.to.forEach(
                (to, share) -> {
                    if (!to.equals(home)) {
                        parts.add(to, share * scale);
                    }
                });
        parts.shed = aim.shed * scale;
        // What the aim has no other place for stays where it is, in the parts in which it is there.
        double left =
                Math.max(0, 1 - parts.shed - parts.to.values().stream().mapToDouble(p -> p).sum());
        double heldOthers = Math.max(TrafficParts.EPSILON, rest);
        held.to.forEach(
                (to, share) -> {
                    if (!to.equals(home)) {
                        parts.add(to, left * share / heldOthers);
                    }
                });
        parts.shed += left * held.shed / heldOthers;
        return parts;
    }
}
