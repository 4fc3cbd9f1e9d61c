package cairnbridge.zones.plan;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * The distribution of one zone's traffic over zones, as fractions from 0 to 1, while a planner
 * computes its route. Mutable.
 */
final class TrafficShares {
    /** Shares up to this value count as zero. */
    static final double EPSILON = 1e-9;

    /**
     * Added before rounding down to thousandths: guards against a floating-point error that loses a
     * thousandth.
     */
    private static final double ROUNDING = 1e-6;

    private final Map<Zone, Double> shares = new TreeMap<>();
    private double shed;
    private RoutingReason reason;

    /** Creates an empty distribution; the whole traffic is unassigned. */
    TrafficShares(RoutingReason reason) {
        this.reason = reason;
    }

    /** Converts the thousandths of a route to fractions. */
    static TrafficShares of(ZoneRoute route) {
        TrafficShares result = new TrafficShares(route.reason());
        route.targets()
                .forEach(
                        (zone, share) -> result.shares.put(zone, (double) share / ZoneRoute.TOTAL));
        result.shed = (double) route.shed() / ZoneRoute.TOTAL;
        return result;
    }

    RoutingReason reason() {
        return reason;
    }

    void setReason(RoutingReason newReason) {
        reason = newReason;
    }

    /** The zones with a positive share, and their shares. */
    Map<Zone, Double> targets() {
        return Collections.unmodifiableMap(shares);
    }

    /** The share of the traffic that a zone serves. */
    double shareOf(Zone zone) {
        return shares.getOrDefault(zone, 0.0);
    }

    /** The share of the traffic that is shed. */
    double shed() {
        return shed;
    }

    /** Adds to the share of a zone; removes the zone if its share becomes zero. */
    void add(Zone zone, double share) {
        double sum = shareOf(zone) + share;
        if (sum > EPSILON) {
            shares.put(zone, sum);
        } else {
            shares.remove(zone);
        }
    }

    /** Adds to the share that is shed. */
    void addShed(double share) {
        shed += share;
    }

    /** Removes a zone and adds its share to the shed share. */
    void shedShareOf(Zone zone) {
        Double share = shares.remove(zone);
        shed += share == null ? 0 : share;
    }

    /** The share that is neither assigned to a zone nor shed. */
    double unassigned() {
        return Math.max(0, 1 - shed - sum());
    }

    private double sum() {
        return shares.values().stream().mapToDouble(share -> share).sum();
    }

    TrafficShares copy() {
        TrafficShares copy = new TrafficShares(reason);
        copy.shares.putAll(shares);
        copy.shed = shed;
        return copy;
    }

    /**
     * Returns the share of the traffic that moves to another zone if these shares are replaced by
     * others.
     */
    double movedTo(TrafficShares after) {
        double moved = 0;
        for (Map.Entry<Zone, Double> target : after.shares.entrySet()) {
            moved += Math.max(0, target.getValue() - shareOf(target.getKey()));
        }
        return moved;
    }

    /**
     * Rounds the shares down to thousandths. The remainder is added to the home zone if it has a
     * share, otherwise to the shed share or to the largest share.
     *
     * @param home the zone whose traffic the shares distribute
     */
    ZoneRoute toRoute(Zone home) {
        Map<Zone, Integer> rounded = new TreeMap<>();
        shares.forEach(
                (zone, share) -> {
                    int thousandths = thousandths(share);
                    if (thousandths > 0) {
                        rounded.put(zone, thousandths);
                    }
                });
        int roundedShed = Math.max(0, thousandths(shed));
        int sum = rounded.values().stream().mapToInt(Integer::intValue).sum();
        int remainder = ZoneRoute.TOTAL - sum - roundedShed;
        if (rounded.containsKey(home)) {
            rounded.merge(home, remainder, Integer::sum);
        } else if (roundedShed > 0 || rounded.isEmpty()) {
            roundedShed += remainder;
        } else {
            rounded.merge(largest(rounded), remainder, Integer::sum);
        }
        return new ZoneRoute(rounded, roundedShed, reason);
    }

    private static int thousandths(double share) {
        return (int) Math.floor(share * ZoneRoute.TOTAL + ROUNDING);
    }

    private static Zone largest(Map<Zone, Integer> shares) {
        return shares.entrySet().stream()
                .max(
                        Map.Entry.<Zone, Integer>comparingByValue()
                                .thenComparing(Map.Entry.comparingByKey()))
                .map(Map.Entry::getKey)
                .orElseThrow();
    }
}
