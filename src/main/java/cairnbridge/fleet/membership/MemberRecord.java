package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import java.util.Optional;

/**
 * One member in the table. Small, 48 bytes while the member is well: a fleet of thousands holds as
 * many in each process.
 */
final class MemberRecord {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int NOT_LISTED = -1;

    /** What few members have at a time. */
    private static final class TransientState {
        private Suspicion suspicion;
        private long notifiedAt = NEVER;
    }

    final MemberId id;
    MemberState state;
    private TransientState transientState;

    /** The index in the table's list of live or of dead members. */
    int listIndex = NOT_LISTED;

    /** Whether the member is part of the table's digests. */
    boolean inDigest;

    /** When its status changed here, and when it was last heard itself. */
    long statusChangedAt;

    long lastHeardAt = NEVER;

    MemberRecord(MemberState state, long now) {
        this.id = state.id();
        this.state = state;
        this.statusChangedAt = now;
    }

    boolean isLive() {
        return state.status().isLive();
    }

    /** The suspicion that it is under, if any. */
    Optional<Suspicion> suspicion() {
        return transientState == null ? Optional.empty() : Optional.ofNullable(transientState.suspicion);
    }

    /** Whether it is under this very suspicion. */
    boolean hasSuspicion(Suspicion suspicion) {
        return transientState != null && transientState.suspicion == suspicion;
    }

    void suspect(Suspicion suspicion) {
        transientState().suspicion = suspicion;
    }

    void clearSuspicion() {
        if (transientState != null) {
            transientState.suspicion = null;
        }
    }

    /** The member was not heard in its present run. */
    void clearLastHeard() {
        lastHeardAt = NEVER;
    }

    void clearListIndex() {
        listIndex = NOT_LISTED;
    }

    /**
     * Whether the member may be notified of what is said about it; true at most once in the
     * interval.
     */
    boolean mayNotify(long now, long interval) {
        if (now - transientState().notifiedAt < interval) {
            return false;
        }
        transientState.notifiedAt = now;
        return true;
    }

    private TransientState transientState() {
        if (transientState == null) {
            transientState = new TransientState();
        }
        return transientState;
    }
}
