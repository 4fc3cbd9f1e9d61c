package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import java.util.List;

/** What a router is told at its start. Times and durations are ticks. */
public record Settings(
        Proxy proxy,
        Origin origin,
        Discovery discovery,
        SlowStart slowStart,
        Attempts attempts,
        Clients clients,
        Prices prices,
        List<String> loadReportColumns,
        List<Category> categories,
        List<Tenant> tenants) {

    /**
     * The proxy that the router decides for.
     *
     * @param count how many proxies there are, this one included
     * @param clockGranularity the step of the clock
     * @param answerSlack by how much an answer may miss its deadline
     */
    public record Proxy(
            PeerId id, ZoneId zone, int count, long clockGranularity, long answerSlack) {}

    /**
     * The origin behind the caches.
     *
     * @param isLookAside whether the proxy fetches what a cache lacks, and not the cache itself
     * @param machineKind the kind that tells the origin's servers from caches
     * @param overloadMultiple times its usual rate at which the origin falls
     * @param overloadWindow the window over which that rate counts
     */
    public record Origin(
            boolean isLookAside,
            MachineKind machineKind,
            double overloadMultiple,
            long overloadWindow) {}

    /**
     * How the endpoint list comes.
     *
     * @param mustSubscribe whether it has to be asked for
     * @param retryWithin the longest time after a failure until it is asked for again
     */
    public record Discovery(boolean mustSubscribe, long retryWithin) {}

    /**
     * How a started server warms up.
     *
     * @param initialShare of its capacity, at the start
     * @param duration until all of its capacity is there
     * @param overloadMultiple times its present capacity at which it falls
     * @param overloadWindow the window over which that counts
     */
    public record SlowStart(
            double initialShare, long duration, double overloadMultiple, long overloadWindow) {}

    /** What a proxy may do towards servers and other proxies for one request. */
    public record Attempts(
            int maxAttempts,
            boolean mayHedge,
            boolean mayCancel,
            boolean mayCheckHealth,
            boolean mayMessagePeers) {}

    /**
     * What holds towards clients.
     *
     * @param mayAdviseRetry whether a rejection may say when to come back
     * @param markRetries whether clients mark a request that they send again
     * @param excessPriorityFactor the weight of a request beyond its tenant's quota
     */
    public record Clients(
            boolean mayAdviseRetry,
            long maxRetryAfter,
            boolean markRetries,
            double excessPriorityFactor) {}

    /** What running a request more than once does. */
    public enum Effect {
        /** Nothing more. */
        IDEMPOTENT,
        /** Nothing more, where the idempotency key is still known. */
        DEDUPLICATED,
        /** Harm: it may run once only. */
        AT_MOST_ONCE
    }

    /** Which servers share their memory of idempotency keys. */
    public enum DeduplicationScope {
        /** All servers. */
        ALL_NODES,
        /** Those of one zone. */
        ZONE,
        /** Those of one cell. */
        CELL
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindow how long a server knows an idempotency key
     * @param latencyObjective an answer within it earns all
     * @param objectiveStretch by how much the objective may grow
     * @param ttl a request's time to live where it names none
     * @param priorityWeight what an answer in time earns
     * @param latePriorityWeight what a later one earns
     * @param isStreamed whether answers are passed on as they come
     */
    public record Category(
            Effect effect,
            DeduplicationScope deduplicationScope,
            long deduplicationWindow,
            long latencyObjective,
            double objectiveStretch,
            long ttl,
            double priorityWeight,
            double latePriorityWeight,
            boolean isStreamed) {}

    /**
     * A tenant.
     *
     * @param quotaPerSecond requests a second over all proxies together
     * @param fraction its part of the traffic
     */
    public record Tenant(double quotaPerSecond, double fraction) {}

    /** Points of service for one unit of each. */
    public record Prices(
            double crossZone, double waste, double probe, double peer, double lateFail) {}
}
