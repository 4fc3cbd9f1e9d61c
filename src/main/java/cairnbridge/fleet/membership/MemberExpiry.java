package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import java.util.List;

/** Removes members that have been dead, or have left, for longer than the retention. */
final class MemberExpiry {
    /** Number of expiry checks within one retention period. */
    private static final int CHECKS_PER_RETENTION = 4;

    private final SwimContext context;

    MemberExpiry(SwimContext context) {
        this.context = context;
    }

    void start() {
        context.schedule(context.settings.leftRetention() / CHECKS_PER_RETENTION, this::expire);
    }

    private void expire() {
        SwimSettings settings = context.settings;
        long shorter = Math.min(settings.deadRetention(), settings.leftRetention());
        context.schedule(shorter / CHECKS_PER_RETENTION + 1, this::expire);
        for (MemberRecord member : List.copyOf(context.table.all())) {
            if (!member.isLive()) {
                expire(member);
            }
        }
    }

    /**
     * Removes a member that is dead or has left from the digests after half its retention, and from
     * the table after all of it.
     */
    private void expire(MemberRecord member) {
        boolean dead = member.state.status() == MemberStatus.DEAD;
        long retention = dead ? context.settings.deadRetention() : context.settings.leftRetention();
        long age = context.now() - member.statusChangedAt;
        if (age >= retention) {
            context.table.remove(member);
            context.gossipQueue.remove(member.id);
            context.host.memberChanged(member.state, null, StatusChangeReason.FORGOTTEN);
        } else if (age >= retention / 2) {
            context.table.removeFromDigest(member);
        }
    }
}
