package cairnbridge.fleet.coordination;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.ZoneOutcome;
import cairnbridge.time.Ticks;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Outcomes of this proxy's attempts by zone, as counts that are halved every second. */
public final class ZoneOutcomeCounters {
    private static final long HALF_LIFE = Ticks.SECOND;

    /** Zones with fewer attempts than this are removed. */
    private static final double NEGLIGIBLE = 0.25;

    private static final class Count {
        double attempts;
        double failed;

        void halve() {
            attempts /= 2;
            failed /= 2;
        }
    }

    private final Map<Long, Count> counts = new HashMap<>();
    private long halvedAt;

    /**
     * Records the outcome of an attempt.
     *
     * @param zoneHash the hash of the zone's name
     * @param failed whether the attempt failed or took longer than its latency objective
     */
    public void record(long zoneHash, boolean failed, long now) {
        decay(now);
        Count count = counts.computeIfAbsent(zoneHash, id -> new Count());
        count.attempts++;
        count.failed += failed ? 1 : 0;
    }

    private void decay(long now) {
        for (; now - halvedAt >= HALF_LIFE; halvedAt += HALF_LIFE) {
            if (counts.isEmpty()) {
                halvedAt = now;
                return;
            }
            counts.values().forEach(Count::halve);
            counts.values().removeIf(count -> count.attempts < NEGLIGIBLE);
        }
    }

    /** The zones with the most attempts, in descending order. */
    public List<ZoneOutcome> outcomes(long now) {
        decay(now);
        Comparator<Map.Entry<Long, Count>> byAttempts =
                Comparator.comparingDouble(entry -> entry.getValue().attempts);
        return counts.entrySet().stream()
                .sorted(byAttempts.reversed())
                .limit(MemberMetadata.MAX_ZONES)
                .map(entry -> outcome(entry.getKey(), entry.getValue()))
                .toList();
    }

    private static ZoneOutcome outcome(long zoneHash, Count count) {
        return new ZoneOutcome(zoneHash, Math.round(count.attempts), Math.round(count.failed));
    }
}
