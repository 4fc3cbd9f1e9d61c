package cairnbridge.decision;

import cairnbridge.decision.Settings.Tenant;
import cairnbridge.time.Ticks;
import java.util.List;

/**
 * This proxy's part of each tenant's quota, as token buckets. Guards against a proxy that carries
 * far more than most: its own traffic is shared out.
 */
final class TenantQuotas {
    /** By how much a proxy's part may exceed an even one. */
    private static final double UNEVENNESS = 1.3;

    /**
     * The least size of a bucket. Guards against one proxy of many taking chance for excess: a few
     * requests come in small crowds.
     */
    private static final double MIN_BUCKET = 5;

    private final RouterContext context;
    private final double[] quotaPerTick;
    private final double[] trafficShare;
    private final double[] tokens;
    private long filledAt;

    TenantQuotas(RouterContext context) {
        this.context = context;
        List<Tenant> tenants = context.settings.tenants();
        filledAt = context.now();
        quotaPerTick = new double[tenants.size()];
        trafficShare = new double[tenants.size()];
        tokens = new double[tenants.size()];
        double total = tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
        for (int i = 0; i < tokens.length; i++) {
            double quota = tenants.get(i).quotaPerSecond();
            quotaPerTick[i] = UNEVENNESS * quota / Ticks.SECOND;
            trafficShare[i] = UNEVENNESS * quota / total;
            tokens[i] = bucketSize(i);
        }
    }

    private double bucketSize(int tenant) {
        return Math.max(MIN_BUCKET, quotaPerTick[tenant] * Ticks.SECOND / context.proxyCount());
    }

    /** Whether a request is beyond its tenant's quota; counts it where it is not. */
    boolean isExceeded(int tenant) {
        boolean isLimited = tenant >= 0 && tenant < tokens.length && quotaPerTick[tenant] > 0;
        if (!isLimited) {
            return false;
        }
        refill();
        boolean isSpent = tokens[tenant] < 1;
        tokens[tenant] -= isSpent ? 0 : 1;
        return isSpent;
    }

    private void refill() {
        long now = context.now();
        for (int i = 0; i < tokens.length; i++) {
            double byTime = quotaPerTick[i] * (now - filledAt) / context.proxyCount();
            tokens[i] = Math.min(bucketSize(i), tokens[i] + Math.max(byTime, trafficShare[i]));
        }
        filledAt = now;
    }
}
