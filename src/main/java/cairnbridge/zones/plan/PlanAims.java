package cairnbridge.zones.plan;

import cairnbridge.zones.plan.ZoneInput.Condition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Settles where each zone's traffic should go if it could go at once: as much at home as fits, then
 * where it has a place already, then near, then far; what fits nowhere is shed.
 */
final class PlanAims {
    private final PlanSettings settings;

    PlanAims(PlanSettings settings) {
        this.settings = settings;
    }

    /** Whether a zone may be sent the traffic of others. */
    static boolean bears(ZoneInput zone, Map<Zone, Long> drained) {
        return zone.condition() == Condition.WELL
                && zone.room() > 0
                && !drained.containsKey(zone.zone());
    }

    /** Whether a zone can serve any traffic at all. */
    static boolean serves(ZoneInput zone) {
        return zone != null && zone.condition() != Condition.GONE && zone.room() > 0;
    }

    /** Where each zone's traffic should go, given where it goes at present. */
    Map<Zone, TrafficParts> aims(
            Map<Zone, TrafficParts> from, Map<Zone, ZoneInput> zones, Map<Zone, Long> drained) {
        // What has a place stays up to the whole room, what is new there comes up to a part of it:
        // guards
        // against parts that follow every breath of the demand while a zone is full.
        Map<Zone, Double> free = new HashMap<>();
        Map<Zone, Double> whole = new HashMap<>();
        Map<Zone, TrafficParts> aims = new TreeMap<>();
        for (ZoneInput zone : zones.values()) {
            TrafficParts aim = atHome(from.get(zone.zone()), zone, drained);
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
            TrafficParts aim = aims.get(zone.zone());
            double left = aim.left();
            // Guards against a zone whose traffic goes far while there is room near.
            left = assign(zone, aim, left, regions.get(zone.region()), free);
            left =
                    left <= TrafficParts.EPSILON
                            ? left
                            : assign(zone, aim, left, List.copyOf(zones.values()), free);
            if (left > TrafficParts.EPSILON) {
                double stays = staysAtHome(zone, aim, left);
                aim.add(zone.zone(), stays);
                aim.shed += left - stays;
                aim.why = left - stays > TrafficParts.EPSILON ? Why.PANIC : aim.why;
            }
        }
        return aims;
    }

    /** The part that the zone should serve itself. */
    private TrafficParts atHome(TrafficParts held, ZoneInput zone, Map<Zone, Long> drained) {
        double now = held.to(zone.zone());
        if (!serves(zone)) {
            return new TrafficParts(Why.GONE);
        }
        if (drained.containsKey(zone.zone())) {
            return new TrafficParts(Why.DRAINED);
        }
        if (zone.condition() == Condition.ILL) {
            TrafficParts ill = new TrafficParts(Why.ILL);
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
        TrafficParts well =
                new TrafficParts(
                        part < 1 - TrafficParts.EPSILON
                                ? Why.FULL
                                : now < 1 - TrafficParts.EPSILON ? Why.BACK : Why.WELL);
        well.add(zone.zone(), part);
        return well;
    }

    private void keep(
            ZoneInput zone,
            TrafficParts held,
            TrafficParts aim,
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
            double kept = Math.min(Math.min(each.getValue(), bears), aim.left());
            aim.add(each.getKey(), kept);
            free.merge(each.getKey(), -kept * zone.demand(), Double::sum);
            whole.merge(each.getKey(), -kept * zone.demand(), Double::sum);
        }
    }

    /** Shares out by free room; what is left over. */
    private static double assign(
            ZoneInput from,
            TrafficParts aim,
            double left,
            List<ZoneInput> among,
            Map<Zone, Double> free) {
        if (left <= TrafficParts.EPSILON) {
            return left;
        }
        List<ZoneInput> others =
                among.stream()
                        .filter(
                                other ->
                                        !other.zone().equals(from.zone())
                                                && free.getOrDefault(other.zone(), 0.0)
                                                        > TrafficParts.EPSILON)
                        .toList();
        double room =
                others.stream().mapToDouble(other -> free.getOrDefault(other.zone(), 0.0)).sum();
        if (room <= TrafficParts.EPSILON) {
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
    private static double staysAtHome(ZoneInput zone, TrafficParts aim, double left) {
        // An ill zone as well: where all look ill at once it is not the zones, and shedding all
        // would help
        // nobody.
        if (!serves(zone)) {
            return 0;
        }
        double bears = zone.demand() <= 0 ? 1 : zone.room() / zone.demand();
        return Math.max(0, Math.min(left, bears - aim.to(zone.zone())));
    }
}
