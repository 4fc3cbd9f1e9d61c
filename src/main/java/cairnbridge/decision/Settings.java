package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import java.util.List;

/** What a router is told at its start. Times are tenths of a millisecond. */
public record Settings(
        PeerId me,
        int proxies,
        ZoneId zone,
        boolean aside,
        MachineKind originKind,
        double originFallMultiple,
        long originFallSpan,
        boolean mustSubscribe,
        long askWithin,
        long tick,
        long answerSlack,
        double coldFrom,
        long warmUp,
        double fallMultiple,
        long fallSpan,
        int mostPushes,
        boolean mayCancel,
        boolean mayProbe,
        boolean mayTellPeers,
        boolean mayAdviseRetry,
        boolean maySecondCopy,
        long maxRetryAfter,
        double excessBenefit,
        boolean clientsMarkRepeats,
        Prices prices,
        List<String> reportColumns,
        List<Category> categories,
        List<Tenant> tenants) {

    public enum Effect {
        IDEMPOTENT,
        DEDUPLICATED,
        AT_MOST_ONCE
    }

    public enum DeduplicationScope {
        ALL_NODES,
        ZONE,
        CELL
    }

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

    /** quota is ops a second over all proxies together. */
    public record Tenant(double quotaPerSecond, double fraction) {}

    /** Points of service for one unit of each. */
    public record Prices(
            double crossZone, double waste, double probe, double peer, double lateFail) {}
}
