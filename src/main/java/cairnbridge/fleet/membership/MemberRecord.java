package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import java.util.Optional;

/**
 * One member in the table. A record takes 48 bytes while the member is healthy: each process holds
 * one for every member of a fleet of thousands.
 */
final class MemberRecord {
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final int NOT_LISTED = -1;

    /** Fields that only few members need at a time, allocated on demand. */
    private static final class TransientState {
        private Suspicion suspicion;
        private long notifiedAt = NEVER;
    }

    final MemberId id;
    MemberState state;
    private TransientState transientState;

    /** Index in the table's list of live or dead members. */
    int listIndex = NOT_LISTED;

    /** Whether the member is included in the table's digests. */
    boolean inDigest;

    /** When the member's status last changed in this view. */
    long statusChangedAt;

    /** When a message from the member itself last arrived. */
    long lastHeardAt = NEVER;

    MemberRecord(MemberState state, long now) {
        this.id = state.id();
        this.state = state;
        this.statusChangedAt = now;
    }

    boolean isLive() {
        return state.status().isLive();
    }

    /** The member's current suspicion, if any. */
    Optional<Suspicion> suspicion() {
        return transientState == null
                ? Optional.empty()
                : Optional.ofNullable(transientState.suspicion);
    }

    /** Whether this is the member's current suspicion. */
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

    /** Records that no message has arrived from the member's present run. */
    void clearLastHeard() {
        lastHeardAt = NEVER;
    }

    void clearListIndex() {
        listIndex = NOT_LISTED;
    }

    /**
     * Whether the member may be notified of its recorded status now; true at most once per
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
