package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.time.Ticks;

/**
 * Sheds load while requests take long at the caches: first what is beyond a tenant's quota, then
 * all.
 */
final class AdmissionControl {
    private static final double MAX_RATIO = 8;
    private static final double SAMPLES = 24;

    /** A request cancelled with less than this left has run out of time. */
    private static final long NEARLY_EXPIRED = Ticks.SECOND / 50;

    private static final double MIN_CACHES_PER_PROXY = 0.5;

    private final RouterContext context;
    private final TenantQuotas quotas;
    private final InFlightLimit limit = new InFlightLimit(3, 3, 3);
    private final InFlightLimit excessLimit = new InFlightLimit(2.2, 1.1, 0);

    /** How many times its lowest usual latency an attempt takes, smoothed. */
    private double latencyRatio;

    private long measuredAt;

    AdmissionControl(RouterContext context) {
        this.context = context;
        quotas = new TenantQuotas(context);
    }

    /** Admits a request, or has it rejected at once. */
    void requestArrived(Request request) {
        boolean isExcess = quotas.isExceeded(request.tenant);
        if (isExcess) {
            request.lowerPriority(context.settings.clients().excessPriorityFactor());
        }
        double level = (isExcess ? excessLimit : limit).level();
        if (hasCapacity(level)) {
            context.loop.post(() -> context.requests.admitted(request));
        } else {
            long advice = RouterContext.LONGEST_RETRY_AFTER;
            context.loop.post(() -> context.dispatcher.answer(request, advice));
        }
    }

    /** Where the capacity is under one request a proxy, its fraction is a chance. */
    private boolean hasCapacity(double level) {
        return context.ring.inFlight() < Math.max(1, level)
                && (level >= 1 || level > context.random.nextDouble());
    }

    void attemptEnded(Request request, ServerNode node, Event.AttemptEnded ended) {
        double reported = context.loadReports.latency(ended.loadReport());
        if (reported < 0 && !speaksOfLatency(ended.outcome())) {
            return;
        }
        double ratio =
                isLost(request, ended.outcome())
                        ? MAX_RATIO
                        : Math.min(MAX_RATIO, ratio(request, node, ended, reported));
        long now = context.now();
        latencyRatio +=
                (ratio - latencyRatio) * MovingAverage.weightAfter(now - measuredAt, SAMPLES);
        measuredAt = now;
    }

    private static boolean speaksOfLatency(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.NOT_SENT
                && outcome != AttemptOutcome.CACHE_MISS
                && outcome != AttemptOutcome.OVERLOADED;
    }

    private boolean isLost(Request request, AttemptOutcome outcome) {
        boolean isNearlyExpired = request.deadline - context.now() <= NEARLY_EXPIRED;
        return outcome == AttemptOutcome.TIMED_OUT
                || (outcome == AttemptOutcome.CANCELLED && isNearlyExpired);
    }

    /**
     * Guards against a day that begins overloaded, its lowest latency high: the objective counts
     * too; and against overload seen in what is only cold, or in the proxy's own wait where caches
     * are quick.
     */
    private double ratio(
            Request request, ServerNode node, Event.AttemptEnded ended, double reported) {
        RequestPolicy policy = request.policy;
        double base = policy.latencyObjective() / 6.0;
        if (reported >= 0) {
            return reported / base;
        }
        double usual = Math.max(base / 10, Math.min((double) policy.hitLatency().floor(), base));
        return context.slowStart.warmth(node) * ended.duration() / usual;
    }

    /** Moves both limits. The least is shared out, as many proxies each let it through. */
    void housekeeping() {
        int inFlight = context.ring.inFlight();
        double cachesPerProxy = context.ring.cacheCount() / context.proxyCount();
        double minimum = Math.min(2, MIN_CACHES_PER_PROXY * cachesPerProxy);
        limit.update(latencyRatio, minimum, inFlight, cachesPerProxy);
        excessLimit.update(latencyRatio, 0, inFlight, cachesPerProxy);
    }
}
