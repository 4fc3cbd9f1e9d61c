package cairnbridge.scale.control;

import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import java.util.Locale;

/** What is done to a member, and how others come to know of it. */
enum ChangeKind {
    /** It ends without a word. */
    KILL(false),
    /** It begins its next life. */
    START(true),
    /** It takes its leave. */
    LEAVE(false),
    /** Its thread stands still while its sockets stay open. */
    FREEZE(false),
    /** Its thread goes on. */
    THAW(true);

    private final boolean livesAfterwards;

    ChangeKind(boolean livesAfterwards) {
        this.livesAfterwards = livesAfterwards;
    }

    /** Whether a view with this claim on the member, or null for none, knows of the change. */
    boolean isKnownFrom(MemberState claim, long life) {
        if (livesAfterwards) {
            return claim != null
                    && claim.status() == MemberStatus.ALIVE
                    && claim.incarnation().generation() >= life;
        }
        return claim == null || !claim.status().isLive();
    }

    /** As the drill's steps call it. */
    String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
