package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.time.Ticks;
import java.util.List;

/** Decides when this member announces changed metadata. */
final class MetadataAnnouncer {
    /** Target rate of metrics announcements in the whole fleet. */
    private static final double ANNOUNCEMENTS_PER_SECOND = 20;

    /**
     * Mean number of members that announce an unreachable zone without waiting for their interval.
     */
    private static final int URGENT_ANNOUNCERS = 120;

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final SwimContext context;

    /** The metadata to announce; null before it is first set. */
    private MemberMetadata desired;

    private long announcedAt;
    private long scheduledAt = NOT_SCHEDULED;

    /** The unreachable zones at the last random draw of {@link #urgent}. */
    private List<Long> drawnZones = List.of();

    /** Whether this member announces these zones without waiting for its interval. */
    private boolean urgent;

    MetadataAnnouncer(SwimContext context) {
        this.context = context;
    }

    /** Sets the metadata to announce. */
    void announce(MemberMetadata metadata) {
        desired = metadata;
        announceWhenDue();
    }

    /**
     * Announces changed metrics at intervals, so that they do not dominate the gossip of a large
     * fleet, and all other changes at once.
     */
    private void announceWhenDue() {
        MemberMetadata announced = context.self.state().metadata();
        if (context.self.hasLeft() || desired.equals(announced)) {
            return;
        }
        boolean metricsOnly = announced != null && differsInMetricsOnly(desired, announced);
        long due = metricsOnly ? announcedAt + interval(announced) : context.now();
        if (due > context.now()) {
            schedule(due);
            return;
        }
        announcedAt = context.now();
        if (metricsOnly) {
            context.self.announceMetrics(desired);
        } else {
            context.self.announce(desired);
        }
    }

    private void schedule(long due) {
        if (due >= scheduledAt) {
            return;
        }
        scheduledAt = due;
        context.timers.schedule(
                due,
                () -> {
                    if (scheduledAt == due) {
                        scheduledAt = NOT_SCHEDULED;
                    }
                    announceWhenDue();
                });
    }

    private long interval(MemberMetadata announced) {
        long shortest = context.settings.metricsInterval();
        if (isUrgent(announced)) {
            return shortest;
        }
        double seconds = context.table.live().size() / ANNOUNCEMENTS_PER_SECOND;
        return Math.max(shortest, (long) (seconds * Ticks.SECOND));
    }

    /**
     * Whether a change of the unreachable zones is announced without waiting for the interval. In a
     * large fleet only a random sample of members does so: enough to outweigh what others announced
     * a moment ago.
     */
    private boolean isUrgent(MemberMetadata announced) {
        List<Long> zones = desired.metrics().reachability().unreachableZones();
        if (zones.equals(announced.metrics().reachability().unreachableZones())) {
            return false;
        }
        if (!zones.equals(drawnZones)) {
            drawnZones = zones;
            double draw = context.random.nextDouble() * context.liveCountWithSelf();
            urgent = draw < URGENT_ANNOUNCERS;
        }
        return urgent;
    }

    private static boolean differsInMetricsOnly(MemberMetadata one, MemberMetadata other) {
        return one.lifecycle() == other.lifecycle()
                && one.zone().equals(other.zone())
                && one.region().equals(other.region())
                && one.clientAddress().equals(other.clientAddress())
                && one.adminAddress().equals(other.adminAddress())
                && one.protocolVersion() == other.protocolVersion()
                && one.planEpoch() == other.planEpoch()
                && one.recovery().phase() == other.recovery().phase();
    }
}
