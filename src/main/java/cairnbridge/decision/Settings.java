package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import java.util.List;

/** The settings of a router. Times and durations are ticks. */
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
     * The proxy that the router runs in.
     *
     * @param count the configured number of proxies, including this one
     * @param clockGranularity the resolution of the clock
     * @param answerSlack how much later than its deadline an answer may arrive
     */
    public record Proxy(
            PeerId id, ZoneId zone, int count, long clockGranularity, long answerSlack) {}

    /**
     * The origin behind the caches.
     *
     * @param isLookAside whether the proxy, rather than the cache, fetches what a cache lacks
     * @param machineKind the machine kind that distinguishes the origin's servers from caches
     * @param overloadMultiple the multiple of its usual request rate at which the origin fails
     * @param overloadWindow the window over which that rate is measured
     */
    public record Origin(
            boolean isLookAside,
            MachineKind machineKind,
            double overloadMultiple,
            long overloadWindow) {}

    /**
     * How the endpoint list is obtained.
     *
     * @param mustSubscribe whether the router must subscribe to the list
     * @param retryWithin the maximum time from a failure to the next subscription attempt
     */
    public record Discovery(boolean mustSubscribe, long retryWithin) {}

    /**
     * The capacity of a server after its start.
     *
     * @param initialShare the share of its capacity available at the start
     * @param duration the time until its full capacity is available
     * @param overloadMultiple the multiple of its current capacity at which it fails
     * @param overloadWindow the window over which its load is measured
     */
    public record SlowStart(
            double initialShare, long duration, double overloadMultiple, long overloadWindow) {}

    /** What a proxy may send to servers and other proxies for one request. */
    public record Attempts(
            int maxAttempts,
            boolean mayHedge,
            boolean mayCancel,
            boolean mayCheckHealth,
            boolean mayMessagePeers) {}

    /**
     * What the router may assume about clients and may send to them.
     *
     * @param mayAdviseRetry whether a rejection may contain a retry-after
     * @param markRetries whether clients mark their retries
     * @param excessPriorityFactor the factor applied to the priority of a request that exceeds its
     *     tenant's quota
     */
    public record Clients(
            boolean mayAdviseRetry,
            long maxRetryAfter,
            boolean markRetries,
            double excessPriorityFactor) {}

    /** The effect of executing a request more than once. */
    public enum Effect {
        /** A repeat has no further effect. */
        IDEMPOTENT,
        /** A repeat has no further effect while the server still stores the idempotency key. */
        DEDUPLICATED,
        /** A repeat does harm; the request may be executed once only. */
        AT_MOST_ONCE
    }

    /** The servers that share their record of idempotency keys. */
    public enum DeduplicationScope {
        /** All servers. */
        ALL_NODES,
        /** The servers of one zone. */
        ZONE,
        /** The servers of one cell. */
        CELL
    }

    /**
     * A class of requests.
     *
     * @param deduplicationWindow how long a server stores an idempotency key
     * @param latencyObjective the latency within which an answer has its full value
     * @param objectiveStretch by how much the objective may be extended
     * @param ttl the time to live of a request that specifies none
     * @param priorityWeight the value of an answer within the latency objective
     * @param latePriorityWeight the value of a later answer
     * @param isStreamed whether responses are streamed to the client
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
     * @param quotaPerSecond the quota in requests per second, over all proxies together
     * @param fraction the tenant's share of the traffic
     */
    public record Tenant(double quotaPerSecond, double fraction) {}

    /** The cost of one unit of each resource, in points of the service score. */
    public record Prices(
            double crossZone, double waste, double probe, double peer, double lateFail) {}
}
