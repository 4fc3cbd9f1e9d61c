package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.time.Ticks;
import java.util.List;

/** Decides when this member announces changed metadata. */
final class MetadataAnnouncer {
    /** How many members of a fleet announce new metrics in a second, all together. */
    private static final double ANNOUNCEMENTS_PER_SECOND = 20;

    /** On average this many members announce out of turn that a zone cannot be reached. */
    private static final int URGENT_ANNOUNCERS = 120;

    private static final long NOT_SCHEDULED = Long.MAX_VALUE;

    private final SwimContext context;

    /** What the member wants to announce; null before it is first set. */
    private MemberMetadata desired;

    private long announcedAt;
    private long scheduledAt = NOT_SCHEDULED;

    /** The unreachable zones for which this member has drawn whether it announces urgently. */
    private List<Long> drawnZones = List.of();

    private boolean urgent;

    MetadataAnnouncer(SwimContext context) {
        this.context = context;
    }

    /** Sets what others are to know from now on. */
    void announce(MemberMetadata metadata) {
        desired = metadata;
        announceWhenDue();
    }

    /**
     * Metrics wait for their time, so that a large fleet does not exchange nothing else; everything
     * else is announced at once.
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
     * That a zone cannot be reached is announced out of turn, in a large fleet by some members:
     * enough of them to outweigh what others announced a moment ago.
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
