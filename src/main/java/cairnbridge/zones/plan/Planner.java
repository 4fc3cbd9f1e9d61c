package cairnbridge.zones.plan;

import cairnbridge.zones.plan.ZoneInput.Condition;
import java.util.ArrayList;
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
    private static final double EPSILON = 1e-9;

    /** Less than this is not worth a plan, in thousandths of a zone's traffic. */
    private static final int LEAST = 10;

    private final PlanSettings settings;
    private final Map<Zone, Long> awayAt = new HashMap<>();
    private final long begun;
    private long steppedAt = Long.MIN_VALUE / 2;

    public Planner(PlanSettings settings, long now) {
        this.settings = settings;
        begun = now;
    }

    /** Parts of one zone's traffic while its row is being made, from 0 to 1. */
    private static final class Parts {
        final Map<Zone, Double> to = new TreeMap<>();
        double shed;
        Why why;

        Parts(Why why) {
            this.why = why;
        }

        static Parts of(Row row) {
            Parts parts = new Parts(row.why());
            row.to().forEach((zone, part) -> parts.to.put(zone, (double) part / Row.ALL));
            parts.shed = (double) row.shed() / Row.ALL;
            return parts;
        }

        double to(Zone zone) {
            return to.getOrDefault(zone, 0.0);
        }

        void add(Zone zone, double part) {
            double sum = to(zone) + part;
            if (sum > EPSILON) {
                to.put(zone, sum);
            } else {
                to.remove(zone);
            }
        }
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
            if (!bears(zone, drained)) {
                awayAt.put(zone.zone(), now); // It has to be well for the whole of the hold.
            }
        }
        Map<Zone, Parts> held = new TreeMap<>();
        zones.keySet().forEach(zone -> held.put(zone, Parts.of(present.row(zone))));
        Map<Zone, Parts> from = new TreeMap<>();
        zones.keySet().forEach(zone -> from.put(zone, withoutTheLost(held.get(zone), zones)));
        relieve(from, zones);
        Map<Zone, Parts> aims = aims(from, zones, drained);
        Map<Zone, Parts> steps = new TreeMap<>();
        double mayMove = settings.movedPerStep();
        for (ZoneInput zone : zones.values()) {
            Parts step = step(zone, from.get(zone.zone()), aims.get(zone.zone()), mayMove, now);
            mayMove = Math.max(0, mayMove - moved(from.get(zone.zone()), step) * zone.demand());
            steps.put(zone.zone(), step);
        }
        fit(held, zones, steps);
        Map<Zone, Row> rows = new HashMap<>();
        for (Map.Entry<Zone, Parts> each : steps.entrySet()) {
            Row row = row(each.getKey(), each.getValue());
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

    private static boolean bears(ZoneInput zone, Map<Zone, Long> drained) {
        return zone.condition() == Condition.WELL
                && zone.room() > 0
                && !drained.containsKey(zone.zone());
    }

    private static boolean serves(ZoneInput zone) {
        return zone != null && zone.condition() != Condition.GONE && zone.room() > 0;
    }

    /**
     * The present row; what goes to a zone that is gone is turned away at once, until it has
     * another place.
     */
    private static Parts withoutTheLost(Parts held, Map<Zone, ZoneInput> zones) {
        Parts parts = copy(held);
        for (Zone to : List.copyOf(parts.to.keySet())) {
            if (!serves(zones.get(to))) {
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
    private static void relieve(Map<Zone, Parts> from, Map<Zone, ZoneInput> zones) {
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

    // Where all would go.

    private Map<Zone, Parts> aims(
            Map<Zone, Parts> from, Map<Zone, ZoneInput> zones, Map<Zone, Long> drained) {
        // What has a place stays up to the whole room, what is new there comes up to a part of it:
        // guards
        // against parts that follow every breath of the demand while a zone is full.
        Map<Zone, Double> free = new HashMap<>();
        Map<Zone, Double> whole = new HashMap<>();
        Map<Zone, Parts> aims = new TreeMap<>();
        for (ZoneInput zone : zones.values()) {
            Parts aim = atHome(from.get(zone.zone()), zone, drained);
            aims.put(zone.zone(), aim);
            if (bears(zone, drained)) {
                double own = aim.to(zone.zone()) * zone.demand();
                free.put(zone.zone(), Math.max(0, settings.fill() * zone.room() - own));
                whole.put(zone.zone(), Math.max(0, zone.room() - own));
            }
        }
        // Guards against parts that change places as the rooms breathe: what has a place keeps it
        // first.
        Map<String, List<ZoneInput>> regions = new HashMap<>();
        zones.values()
                .forEach(
                        zone ->
                                regions.computeIfAbsent(zone.region(), r -> new ArrayList<>())
                                        .add(zone));
        for (ZoneInput zone : zones.values()) {
            keep(
                    zone,
                    from.get(zone.zone()),
                    aims.get(zone.zone()),
                    zones,
                    regions.get(zone.region()),
                    free,
                    whole);
        }
        for (ZoneInput zone : zones.values()) {
            Parts aim = aims.get(zone.zone());
            double left = left(aim);
            // Guards against a zone whose traffic goes far while there is room near.
            left = assign(zone, aim, left, regions.get(zone.region()), free);
            left =
                    left <= EPSILON
                            ? left
                            : assign(zone, aim, left, List.copyOf(zones.values()), free);
            if (left > EPSILON) {
                double stays = staysAtHome(zone, aim, left);
                aim.add(zone.zone(), stays);
                aim.shed += left - stays;
                aim.why = left - stays > EPSILON ? Why.PANIC : aim.why;
            }
        }
        return aims;
    }

    private static double left(Parts aim) {
        return Math.max(0, 1 - aim.shed - aim.to.values().stream().mapToDouble(part -> part).sum());
    }

    /** The part that the zone should serve itself. */
    private Parts atHome(Parts held, ZoneInput zone, Map<Zone, Long> drained) {
        double now = held.to(zone.zone());
        if (!serves(zone)) {
            return new Parts(Why.GONE);
        }
        if (drained.containsKey(zone.zone())) {
            return new Parts(Why.DRAINED);
        }
        if (zone.condition() == Condition.ILL) {
            Parts ill = new Parts(Why.ILL);
            ill.add(zone.zone(), Math.min(settings.trial(), now));
            return ill;
        }
        double most =
                zone.demand() <= 0 ? 1 : Math.min(1, settings.fill() * zone.room() / zone.demand());
        // Guards against overflow that comes and goes: what went away comes back under a lower mark
        // only.
        double back =
                zone.demand() <= 0
                        ? 1
                        : Math.min(1, settings.backFill() * zone.room() / zone.demand());
        double part = now > most ? most : Math.max(now, back);
        Parts well =
                new Parts(part < 1 - EPSILON ? Why.FULL : now < 1 - EPSILON ? Why.BACK : Why.WELL);
        well.add(zone.zone(), part);
        return well;
    }

    private void keep(
            ZoneInput zone,
            Parts held,
            Parts aim,
            Map<Zone, ZoneInput> zones,
            List<ZoneInput> region,
            Map<Zone, Double> free,
            Map<Zone, Double> whole) {
        if (held.to.keySet().stream().allMatch(zone.zone()::equals)) {
            return;
        }
        double near =
                region.stream()
                                .filter(other -> !other.zone().equals(zone.zone()))
                                .mapToDouble(other -> free.getOrDefault(other.zone(), 0.0))
                                .sum()
                        * settings.backFill();
        for (Map.Entry<Zone, Double> each : held.to.entrySet()) {
            ZoneInput there = zones.get(each.getKey());
            if (each.getKey().equals(zone.zone()) || !free.containsKey(each.getKey())) {
                continue;
            }
            boolean far = !there.region().equals(zone.region());
            if (far && near > each.getValue() * zone.demand()) {
                continue; // There is room nearer by, and some to spare.
            }
            double bears =
                    zone.demand() <= 0 ? 1 : Math.max(0, whole.get(each.getKey()) / zone.demand());
            double kept = Math.min(Math.min(each.getValue(), bears), left(aim));
            aim.add(each.getKey(), kept);
            free.merge(each.getKey(), -kept * zone.demand(), Double::sum);
            whole.merge(each.getKey(), -kept * zone.demand(), Double::sum);
        }
    }

    /** Shares out by free room; what is left over. */
    private static double assign(
            ZoneInput from, Parts aim, double left, List<ZoneInput> among, Map<Zone, Double> free) {
        if (left <= EPSILON) {
            return left;
        }
        List<ZoneInput> others =
                among.stream()
                        .filter(
                                other ->
                                        !other.zone().equals(from.zone())
                                                && free.getOrDefault(other.zone(), 0.0) > EPSILON)
                        .toList();
        double room =
                others.stream().mapToDouble(other -> free.getOrDefault(other.zone(), 0.0)).sum();
        if (room <= EPSILON) {
            return left;
        }
        double wanted = left * from.demand();
        double part = wanted <= room ? 1 : room / wanted;
        for (ZoneInput other : others) {
            double share = free.getOrDefault(other.zone(), 0.0) / room;
            aim.add(other.zone(), left * part * share);
            free.computeIfPresent(
                    other.zone(), (zone, was) -> Math.max(0, was - wanted * part * share));
        }
        return left * (1 - part);
    }

    /**
     * Where nothing near or far has room, a zone that still serves takes what it bears; the rest is
     * shed there.
     */
    private static double staysAtHome(ZoneInput zone, Parts aim, double left) {
        // An ill zone as well: where all look ill at once it is not the zones, and shedding all
        // would help
        // nobody.
        if (!serves(zone)) {
            return 0;
        }
        double bears = zone.demand() <= 0 ? 1 : zone.room() / zone.demand();
        return Math.max(0, Math.min(left, bears - aim.to(zone.zone())));
    }

    // How much of the way one step goes.

    private Parts step(ZoneInput zone, Parts held, Parts aim, double mayMove, long now) {
        Zone home = zone.zone();
        boolean back = aim.to(home) > held.to(home) + EPSILON;
        boolean waits = back && now - awayAt.getOrDefault(home, begun) < settings.hold();
        Parts wanted = waits ? withHome(held, aim, home) : aim;
        double moved = moved(held, wanted);
        if (moved <= EPSILON && Math.abs(held.shed - wanted.shed) <= EPSILON) {
            Parts same = copy(held);
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
        Parts step = new Parts(aim.why);
        step.shed = held.shed + part * (wanted.shed - held.shed);
        held.to.forEach((to, share) -> step.add(to, share * (1 - part)));
        wanted.to.forEach((to, share) -> step.add(to, share * part));
        return step;
    }

    private static Parts copy(Parts parts) {
        Parts copy = new Parts(parts.why);
        copy.to.putAll(parts.to);
        copy.shed = parts.shed;
        return copy;
    }

    /**
     * The aim, but for the part at home, which stays as it is; the others make up the rest as they
     * would.
     */
    private static Parts withHome(Parts held, Parts aim, Zone home) {
        Parts parts = new Parts(aim.why);
        double others =
                aim.shed
                        + aim.to.entrySet().stream()
                                .filter(each -> !each.getKey().equals(home))
                                .mapToDouble(Map.Entry::getValue)
                                .sum();
        double rest = 1 - held.to(home);
        double scale = others <= EPSILON ? 0 : Math.min(1, rest / others);
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
        double heldOthers = Math.max(EPSILON, rest);
        held.to.forEach(
                (to, share) -> {
                    if (!to.equals(home)) {
                        parts.add(to, left * share / heldOthers);
                    }
                });
        parts.shed += left * held.shed / heldOthers;
        return parts;
    }

    /** The part that goes where it did not. */
    private static double moved(Parts before, Parts after) {
        double moved = 0;
        for (Map.Entry<Zone, Double> each : after.to.entrySet()) {
            moved += Math.max(0, each.getValue() - before.to(each.getKey()));
        }
        return moved;
    }

    /**
     * Keeps each zone's room while members are on either plan; what does not fit is served or shed
     * at home.
     */
    private static void fit(
            Map<Zone, Parts> held, Map<Zone, ZoneInput> zones, Map<Zone, Parts> steps) {
        Map<Zone, Double> sure = new HashMap<>();
        Map<Zone, Double> grows = new HashMap<>();
        held.forEach(
                (from, parts) ->
                        parts.to.forEach(
                                (to, part) ->
                                        sure.merge(
                                                to,
                                                zones.get(from).demand()
                                                        * (to.equals(from)
                                                                ? Math.max(
                                                                        part,
                                                                        steps.get(from).to(to))
                                                                : part),
                                                Double::sum)));
        steps.forEach(
                (from, parts) ->
                        parts.to.forEach(
                                (to, part) -> {
                                    double more =
                                            zones.get(from).demand()
                                                    * (part - held.get(from).to(to));
                                    if (to.equals(from) && held.get(from).to(to) <= 0) {
                                        sure.merge(to, more, Double::sum);
                                    } else if (!to.equals(from) && more > 0) {
                                        grows.merge(to, more, Double::sum);
                                    }
                                }));
        grows.forEach(
                (to, more) -> {
                    double room = Math.max(0, zones.get(to).room() - sure.getOrDefault(to, 0.0));
                    if (more > room + EPSILON) {
                        steps.forEach(
                                (from, parts) ->
                                        returns(
                                                held.get(from),
                                                zones.get(from),
                                                parts,
                                                to,
                                                1 - room / more));
                    }
                });
    }

    /** A part of what a step adds to a zone is taken back from it. */
    private static void returns(Parts held, ZoneInput from, Parts step, Zone zone, double part) {
        double back =
                from.zone().equals(zone) ? 0 : part * Math.max(0, step.to(zone) - held.to(zone));
        if (back <= EPSILON) {
            return;
        }
        step.add(zone, -back);
        double stays =
                serves(from)
                        ? Math.min(back, Math.max(0, held.to(from.zone()) - step.to(from.zone())))
                        : 0;
        if (stays > EPSILON) {
            step.add(from.zone(), stays);
        }
        step.shed += back - stays;
    }

    /** In thousandths that add up: what rounding leaves over stays at home if it can. */
    private static Row row(Zone zone, Parts parts) {
        Map<Zone, Integer> to = new TreeMap<>();
        int sum = 0;
        for (Map.Entry<Zone, Double> each : parts.to.entrySet()) {
            int part = (int) Math.floor(each.getValue() * Row.ALL + 1e-6);
            if (part > 0) {
                to.put(each.getKey(), part);
                sum += part;
            }
        }
        int shed = Math.max(0, (int) Math.floor(parts.shed * Row.ALL + 1e-6));
        int left = Row.ALL - sum - shed;
        Zone largest =
                to.entrySet().stream()
                        .max(
                                Map.Entry.<Zone, Integer>comparingByValue()
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .map(Map.Entry::getKey)
                        .orElse(null);
        if (to.containsKey(zone)) {
            to.merge(zone, left, Integer::sum);
        } else if (shed > 0 || largest == null) {
            shed += left;
        } else {
            to.merge(largest, left, Integer::sum);
        }
        return new Row(to, shed, parts.why);
    }
}
