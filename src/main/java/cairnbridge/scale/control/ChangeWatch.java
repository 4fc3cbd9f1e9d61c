package cairnbridge.scale.control;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.MembershipView;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Notes when each member of a process first knows of one change; any thread may look. */
final class ChangeWatch {
    private final MemberId subject;
    private final ChangeKind kind;
    private final long life;
    private final Map<MemberId, Long> knownAt = new ConcurrentHashMap<>();

    /** life: the subject's life that a START or a THAW is recognised by. */
    ChangeWatch(MemberId subject, ChangeKind kind, long life) {
        this.subject = subject;
        this.kind = kind;
        this.life = life;
    }

    /** A member's view as it is now; the subject's own does not count. */
    void look(MembershipView view) {
        if (view.self().equals(subject) || knownAt.containsKey(view.self())) {
            return;
        }
        if (kind.isKnownFrom(view.stateOf(subject).orElse(null), life)) {
            knownAt.put(view.self(), System.nanoTime());
        }
    }

    /** When each that knows came to know, by the machine's monotonic clock. */
    List<Long> knownAtNanos() {
        return List.copyOf(knownAt.values());
    }
}
