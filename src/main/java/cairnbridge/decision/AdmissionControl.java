package cairnbridge.decision;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.time.Ticks;

/**
 * Sheds load while caches respond slowly: requests beyond their tenant's quota are rejected first,
 * then requests of any tenant.
 */
final class AdmissionControl {
    private static final double MAX_LATENCY_RATIO = 8;
    private static final double LATENCY_SAMPLES = 24;

    /**
     * An attempt cancelled with less than this time left before the deadline counts as timed out.
     */
    private static final long NEARLY_EXPIRED = Ticks.SECOND / 50;

    private static final double MIN_LEVEL_PER_CACHE = 0.5;

    private final RouterContext context;
    private final TenantQuotas quotas;
    private final InFlightLimit limit = new InFlightLimit(3, 3, 3);
    private final InFlightLimit excessLimit = new InFlightLimit(2.2, 1.1, 0);

    /** Smoothed ratio of an attempt's latency to the lowest usual latency of its category. */
    private double latencyRatio;

    private long lastSampleAt;

    /** The attempts at caches that go on at the pace of their clients. */
    private int clientPacedAttempts;

    AdmissionControl(RouterContext context) {
        this.context = context;
        quotas = new TenantQuotas(context);
    }

    /** Admits a request, or rejects it immediately with retry advice. */
    void requestArrived(Request request) {
        boolean isExcess = quotas.isExceeded(request.tenant);
        if (isExcess) {
            request.lowerPriority(context.settings.clients().excessPriorityFactor());
        }
        double level = (isExcess ? excessLimit : limit).level();
        if (hasCapacity(level)) {
            context.loop.post(() -> context.requests.admitted(request));
        } else {
            long retryAfter = RouterContext.LONGEST_RETRY_AFTER;
            context.loop.post(() -> context.dispatcher.answer(request, retryAfter));
        }
    }

    /**
     * Whether one more request fits under the limit. A limit below 1 is the probability of
     * admitting a request while none is in flight.
     */
    private boolean hasCapacity(double level) {
        return waitingAttempts() < Math.max(1, level)
                && (level >= 1 || level > context.random.nextDouble());
    }

    /**
     * The attempts at caches that wait for a response. Guards against slow clients that keep all
     * other requests out, as a body or response that streams tells nothing of the caches' load.
     */
    private int waitingAttempts() {
        return context.ring.inFlight() - clientPacedAttempts;
    }

    /** An attempt at a cache goes on at the pace of its client, or waits for the cache again. */
    void paceChanged(boolean isClientPaced) {
        clientPacedAttempts += isClientPaced ? 1 : -1;
    }

    /** The response of an attempt at a cache has begun to stream to its client. */
    void streamingStarted(Request request, ServerNode node, long elapsed) {
        if (context.settings.loadReportColumns().isEmpty()) {
            addSample(latencyRatioOf(request, node, elapsed, LoadReports.UNKNOWN));
        }
    }

    void attemptEnded(Request request, Attempt attempt, Event.AttemptEnded ended) {
        double reported = context.loadReports.latency(ended.loadReport());
        boolean isStreaming = attempt.isStreaming();
        if (reported < 0 && (isStreaming || !reflectsLatency(ended.outcome()))) {
            return;
        }
        addSample(
                !isStreaming && ranOutOfTime(request, ended.outcome())
                        ? MAX_LATENCY_RATIO
                        : latencyRatioOf(request, attempt.node, ended.duration(), reported));
    }

    private void addSample(double ratio) {
        long now = context.now();
        latencyRatio +=
                (Math.min(MAX_LATENCY_RATIO, ratio) - latencyRatio)
                        * MovingAverage.weightAfter(now - lastSampleAt, LATENCY_SAMPLES);
        lastSampleAt = now;
    }

    private static boolean reflectsLatency(AttemptOutcome outcome) {
        return outcome != AttemptOutcome.NOT_SENT
                && outcome != AttemptOutcome.CACHE_MISS
                && outcome != AttemptOutcome.OVERLOADED;
    }

    private boolean ranOutOfTime(Request request, AttemptOutcome outcome) {
        boolean isNearlyExpired = request.deadline - context.now() <= NEARLY_EXPIRED;
        return outcome == AttemptOutcome.TIMED_OUT
                || (outcome == AttemptOutcome.CANCELLED && isNearlyExpired);
    }

    /**
     * Guards against three distortions of the latency ratio. A proxy that starts during an overload
     * would take a high latency for the usual one, so the latency objective bounds the usual
     * latency from above. A node in slow start would look overloaded, so its duration is scaled by
     * its warmth. The proxy's own queueing delay would look like overload where caches are fast, so
     * the usual latency is also bounded from below.
     */
    private double latencyRatioOf(
            Request request, ServerNode node, long duration, double reported) {
        RequestPolicy policy = request.policy;
        double base = policy.latencyObjective() / 6.0;
        if (reported >= 0) {
            return reported / base;
        }
        double usual = Math.max(base / 10, Math.min((double) policy.hitLatency().floor(), base));
        return context.slowStart.warmth(node) * duration / usual;
    }

    /**
     * Updates both limits. Their minimum shrinks as the number of proxies grows, because every
     * proxy may send its minimum at once.
     */
    void housekeeping() {
        int inFlight = waitingAttempts();
        double cachesPerProxy = context.ring.cacheCount() / context.proxyCount();
        double minimum = Math.min(2, MIN_LEVEL_PER_CACHE * cachesPerProxy);
        limit.update(latencyRatio, minimum, inFlight, cachesPerProxy);
        excessLimit.update(latencyRatio, 0, inFlight, cachesPerProxy);
    }
}
