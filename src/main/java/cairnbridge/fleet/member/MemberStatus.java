package cairnbridge.fleet.member;

/**
 * The status of a member in a view. Of two statements about the same incarnation the one with the
 * later constant replaces the other. The order is part of the protocol.
 */
public enum MemberStatus {
    /** It answers probes, or has refuted a suspicion. */
    ALIVE,
    /**
     * It did not answer a member's probe; it is declared dead unless it refutes the suspicion in
     * time.
     */
    SUSPECT,
    /** It did not refute a suspicion in time. */
    DEAD,
    /** It announced that it leaves. */
    LEFT;

    /** Whether the member counts as present: a suspected one does until it is declared dead. */
    public boolean isLive() {
        return this == ALIVE || this == SUSPECT;
    }
}
