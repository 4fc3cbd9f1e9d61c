package cairnbridge.fleet.coordination;

import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.time.Ticks;

/**
 * The number of proxies that share the limits of the whole fleet: the number of live members,
 * smoothed. It rises within about a second but falls only within some seconds, because quotas that
 * grow too soon add up to more than the limit.
 */
public final class LiveProxyCount {
    private static final double RISE_TIME = Ticks.SECOND;
    private static final double FALL_TIME = 5 * Ticks.SECOND;

    /**
     * Minimum difference between the smoothed and the reported count at which the reported count
     * changes. Guards against a count that oscillates while the smoothed value is about halfway
     * between two integers.
     */
    private static final double HYSTERESIS = 0.6;

    private final int configured;
    private double smoothed;
    private long updatedAt;
    private int reported;

    /** Creates a count that starts from the configured number of proxies. */
    public LiveProxyCount(int configured, long now) {
        this.configured = Math.max(1, configured);
        smoothed = this.configured;
        reported = this.configured;
        updatedAt = now;
    }

    /** Updates the count from the view and returns it. */
    public int update(MembershipView view, long now) {
        double target = target(view.liveMembers().size());
        double timeConstant = target > smoothed ? RISE_TIME : FALL_TIME;
        double elapsed = Math.max(0, now - updatedAt);
        smoothed += (target - smoothed) * (1 - StrictMath.exp(-elapsed / timeConstant));
        updatedAt = Math.max(updatedAt, now);
        if (Math.abs(smoothed - reported) > HYSTERESIS) {
            reported = (int) Math.max(1, Math.round(smoothed));
        }
        return reported;
    }

    /**
     * Guards against a partitioned fleet in which each part claims the quota of the whole fleet:
     * without a majority of the configured number of proxies, the count is half of that number.
     */
    private double target(int live) {
        boolean majority = 2 * live > configured;
        return majority ? live : Math.max(configured / 2.0, Math.min(2.0 * configured, live));
    }
}
