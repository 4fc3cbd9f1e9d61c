package cairnbridge.decision;

import cairnbridge.decision.Settings.Tenant;
import cairnbridge.time.Ticks;
import java.util.List;

/**
 * This proxy's share of each tenant's quota, as token buckets. Guards against rejecting the
 * requests of a proxy that receives far more traffic than most others: every request adds at least
 * a fixed number of tokens, divided among the tenants by their quotas.
 */
final class TenantQuotas {
    /** The factor by which a proxy's share may exceed an equal one. */
    private static final double UNEVEN_TRAFFIC_FACTOR = 1.3;

    /**
     * The minimum bucket size. Guards against random variation that looks like excess at one of
     * many proxies: a few requests may arrive in a short burst.
     */
    private static final double MIN_BUCKET = 5;

    private final RouterContext context;
    private final double[] quotaPerTick;
    private final double[] trafficShare;
    private final double[] tokens;
    private long lastRefillAt;

    TenantQuotas(RouterContext context) {
        this.context = context;
        List<Tenant> tenants = context.settings.tenants();
        lastRefillAt = context.now();
        quotaPerTick = new double[tenants.size()];
        trafficShare = new double[tenants.size()];
        tokens = new double[tenants.size()];
        double total = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        for (int i = 0; i < tokens.length; i++) {
            double quota = tenants.get(i).quotaPerSecond();
            quotaPerTick[i] = UNEVEN_TRAFFIC_FACTOR * quota / Ticks.SECOND;
            trafficShare[i] = UNEVEN_TRAFFIC_FACTOR * quota / total;
            tokens[i] = bucketSize(i);
        }
    }

    private double bucketSize(int tenant) {
        return Math.max(MIN_BUCKET, quotaPerTick[tenant] * Ticks.SECOND / context.proxyCount());
    }

    /** Whether a request exceeds its tenant's quota; if not, takes a token for it. */
    boolean isExceeded(int tenant) {
        boolean isLimited = tenant >= 0 && tenant < tokens.length && quotaPerTick[tenant] > 0;
        if (!isLimited) {
            return false;
        }
        refill();
        boolean isEmpty = tokens[tenant] < 1;
        tokens[tenant] -= isEmpty ? 0 : 1;
        return isEmpty;
    }

    private void refill() {
        long now = context.now();
        for (int i = 0; i < tokens.length; i++) {
            double timeTokens = quotaPerTick[i] * (now - lastRefillAt) / context.proxyCount();
            tokens[i] = Math.min(bucketSize(i), tokens[i] + Math.max(timeTokens, trafficShare[i]));
        }
        lastRefillAt = now;
    }
}
