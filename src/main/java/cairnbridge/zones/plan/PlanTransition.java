package cairnbridge.zones.plan;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the next shares so that no zone is overloaded while some members use the new plan and
 * others still the old one. A zone must be able to serve, for each source zone, the larger of its
 * shares in the two plans.
 */
final class PlanTransition {
    private final Map<Zone, TrafficShares> present;
    private final Map<Zone, ZoneStatus> zones;
    private final Map<Zone, TrafficShares> next;

    /**
     * Requests a second that a zone may receive without the additions of the next plan: the present
     * traffic of other zones, and the larger of the two shares of its own traffic.
     */
    private final Map<Zone, Double> committed = new HashMap<>();

    /** Requests a second of other zones that the next plan adds to a zone. */
    private final Map<Zone, Double> added = new HashMap<>();

    private PlanTransition(
            Map<Zone, TrafficShares> present,
            Map<Zone, ZoneStatus> zones,
            Map<Zone, TrafficShares> next) {
        this.present = present;
        this.zones = zones;
        this.next = next;
    }

    /**
     * Reduces in place the shares that the next plan adds to overloaded zones. The source zone
     * serves the excess up to the share that it served before; the rest is shed.
     */
    static void limitToCapacity(
            Map<Zone, TrafficShares> present,
            Map<Zone, ZoneStatus> zones,
            Map<Zone, TrafficShares> next) {
        PlanTransition transition = new PlanTransition(present, zones, next);
        present.forEach(transition::countPresent);
        next.forEach(transition::countNext);
        transition.added.forEach(transition::limit);
    }

    private void countPresent(Zone from, TrafficShares shares) {
        double demand = zones.get(from).demand();
        shares.targets()
                .forEach(
                        (to, share) -> {
                            double larger =
                                    to.equals(from)
                                            ? Math.max(share, next.get(from).shareOf(to))
                                            : share;
                            committed.merge(to, demand * larger, Double::sum);
                        });
    }

    private void countNext(Zone from, TrafficShares shares) {
        double demand = zones.get(from).demand();
        shares.targets()
                .forEach(
                        (to, share) -> {
                            double presentShare = present.get(from).shareOf(to);
                            double rateChange = demand * (share - presentShare);
                            if (to.equals(from) && presentShare <= 0) {
                                committed.merge(to, rateChange, Double::sum);
                            } else if (!to.equals(from) && rateChange > 0) {
                                added.merge(to, rateChange, Double::sum);
                            }
                        });
    }

    private void limit(Zone to, double addedRate) {
        double free = zones.get(to).capacity() - committed.getOrDefault(to, 0.0);
        double capacity = Math.max(0, free);
        if (addedRate > capacity + TrafficShares.EPSILON) {
            double excess = 1 - capacity / addedRate;
            next.forEach((from, shares) -> reduceAddedShare(from, shares, to, excess));
        }
    }

    /** Removes a fraction of the share that a zone's next shares add to another zone. */
    private void reduceAddedShare(Zone from, TrafficShares shares, Zone to, double fraction) {
        if (from.equals(to)) {
            return;
        }
        TrafficShares before = present.get(from);
        double removedShare = fraction * Math.max(0, shares.shareOf(to) - before.shareOf(to));
        if (removedShare <= TrafficShares.EPSILON) {
            return;
        }
        shares.add(to, -removedShare);
        double servedBefore = Math.max(0, before.shareOf(from) - shares.shareOf(from));
        double atHome = zones.get(from).canServe() ? Math.min(removedShare, servedBefore) : 0;
        if (atHome > TrafficShares.EPSILON) {
            shares.add(from, atHome);
        }
        shares.addShed(removedShare - atHome);
    }
}
