package cairnbridge.zones.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Sees to it that no zone is sent more than it has room for while a new plan spreads and some
 * members are on the old one still.
 */
final class PlanOverlap {
    private PlanOverlap() {}

    /**
     * Keeps each zone's room while members are on either plan; what does not fit is served or shed
     * at home.
     */
    static void fit(
            Map<Zone, TrafficParts> held,
            Map<Zone, ZoneInput> zones,
            Map<Zone, TrafficParts> steps) {
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
                    if (more > room + TrafficParts.EPSILON) {
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
    private static void returns(
            TrafficParts held, ZoneInput from, TrafficParts step, Zone zone, double part) {
        double back =
                from.zone().equals(zone) ? 0 : part * Math.max(0, step.to(zone) - held.to(zone));
        if (back <= TrafficParts.EPSILON) {
            return;
        }
        step.add(zone, -back);
        double stays =
                PlanAims.serves(from)
                        ? Math.min(back, Math.max(0, held.to(from.zone()) - step.to(from.zone())))
                        : 0;
        if (stays > TrafficParts.EPSILON) {
            step.add(from.zone(), stays);
        }
        step.shed += back - stays;
    }
}
