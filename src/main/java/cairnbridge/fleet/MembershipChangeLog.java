package cairnbridge.fleet;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import cairnbridge.time.Ticks;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Logs one line for each change of a member's status. In each period only the first lines are
 * logged, and then the number of those left out.
 */
final class MembershipChangeLog {
    private static final int MAX_LINES = 20;
    private static final long PERIOD = 10 * Ticks.SECOND;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Consumer<String> log;
    private long periodStart = NEVER;
    private int lines;
    private int suppressed;

    MembershipChangeLog(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Logs a change of status; {@code before} is null for a new member, {@code after} for a
     * forgotten one.
     */
    void statusChanged(MemberState before, MemberState after, StatusChangeReason reason, long now) {
        MemberStatus oldStatus = before == null ? null : before.status();
        MemberStatus newStatus = after == null ? null : after.status();
        if (oldStatus == newStatus && reason != StatusChangeReason.RESTARTED) {
            return; // Only the metadata has changed.
        }
        MemberState member = after == null ? before : after;
        String reporter = member.reportedBy() == null ? "" : " by " + member.reportedBy();
        log(
                "%s at %s is %s, %s: %s%s"
                        .formatted(
                                member.id(),
                                member.endpoint(),
                                newStatus == null ? "forgotten" : lowerCase(newStatus),
                                oldStatus == null ? "was not known" : "was " + lowerCase(oldStatus),
                                lowerCase(reason).replace('_', ' '),
                                reporter),
                now);
    }

    void log(String message, long now) {
        reportSuppressed(now);
        if (lines < MAX_LINES) {
            lines++;
            log.accept("fleet: " + message);
        } else {
            suppressed++;
        }
    }

    /** Logs how many lines were left out, once the period is over. */
    void reportSuppressed(long now) {
        if (now - periodStart < PERIOD) {
            return;
        }
        if (suppressed > 0) {
            log.accept("fleet: " + suppressed + " more changes in 10 s");
        }
        periodStart = now;
        lines = 0;
        suppressed = 0;
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
