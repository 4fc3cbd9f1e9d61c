package cairnbridge.zones;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneRoute;
import cairnbridge.zones.plan.ZoneStatus;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Formats plans for operators. Tools parse the answers to admin calls, so their format must stay
 * stable.
 */
final class ZoneStatusFormatter {
    private ZoneStatusFormatter() {}

    /**
     * Formats a route: its target zones with their shares in thousandths, the shed share and the
     * reason.
     */
    private static String formatRoute(Zone zone, ZoneRoute route) {
        List<String> parts = new ArrayList<>();
        route.targetsInOrder().forEach((target, share) -> parts.add(target + " " + share));
        if (route.shed() > 0) {
            parts.add("shed " + route.shed());
        }
        return zone + " -> " + String.join(", ", parts) + ": " + route.reason().displayName();
    }

    /**
     * Describes each route and drain that differs between two plans, one line each; empty if only
     * the epoch differs.
     */
    static List<String> describeChanges(Plan before, Plan after) {
        List<String> changes = new ArrayList<>();
        after.routesInOrder()
                .forEach(
                        (zone, route) -> {
                            if (!route.hasSameSharesAs(before.routeOf(zone))) {
                                changes.add(formatRoute(zone, route));
                            }
                        });
        before.routesInOrder().keySet().stream()
                .filter(zone -> !after.routes().containsKey(zone))
                .forEach(zone -> changes.add(formatRoute(zone, after.routeOf(zone))));
        after.drained().keySet().stream()
                .filter(zone -> !before.drained().containsKey(zone))
                .forEach(zone -> changes.add(zone + " is drained by staff"));
        before.drained().keySet().stream()
                .filter(zone -> !after.drained().containsKey(zone))
                .forEach(zone -> changes.add(zone + " is given back by staff"));
        return changes;
    }

    /**
     * Formats the capacity, demand and condition of each zone, as this member would use them as the
     * proposer.
     */
    static String formatStatuses(List<ZoneStatus> statuses) {
        StringBuilder text = new StringBuilder();
        for (ZoneStatus status : statuses) {
            text.append(
                    String.format(
                            Locale.ROOT,
                            "zone %s in region %s: room %.0f/s, demand %.0f/s, %s%n",
                            status.zone(),
                            status.region(),
                            status.capacity(),
                            status.demand(),
                            status.condition().displayName()));
        }
        return text.toString();
    }

    /**
     * Formats a plan's epoch, routes and drained zones, and the members that have not confirmed it.
     */
    static String formatPlan(Plan plan, MembershipView view, String proposer, boolean majority) {
        StringBuilder text = new StringBuilder();
        text.append("epoch ")
                .append(plan.epoch())
                .append(" by ")
                .append(plan.proposer().isEmpty() ? "nobody" : plan.proposer())
                .append("; proposer now ")
                .append(proposer)
                .append(majority ? "" : "; NO MAJORITY of voters in view, the plan stays")
                .append('\n');
        if (plan.routes().isEmpty()) {
            text.append("every zone serves its own\n");
        }
        plan.routesInOrder()
                .forEach((zone, route) -> text.append(formatRoute(zone, route)).append('\n'));
        plan.drained()
                .forEach(
                        (zone, untilMillis) ->
                                text.append(zone)
                                        .append(" drained, at least until ")
                                        .append(Instant.ofEpochMilli(untilMillis))
                                        .append('\n'));
        return text.append(confirmation(plan, view)).toString();
    }

    private static String confirmation(Plan plan, MembershipView view) {
        String unconfirmed =
                view.liveMembers().stream()
                        .filter(member -> !member.id().equals(view.self()))
                        .filter(member -> hasOlderPlan(member, plan))
                        .map(member -> member.id() + " (" + member.metadata().planEpoch() + ")")
                        .collect(Collectors.joining(", "));
        return unconfirmed.isEmpty()
                ? "confirmed by all in view\n"
                : "not confirmed by " + unconfirmed + "\n";
    }

    private static boolean hasOlderPlan(MemberState member, Plan plan) {
        return member.knownMetadata().filter(known -> known.planEpoch() < plan.epoch()).isPresent();
    }
}
