package cairnbridge.fleet.member;

/**
 * What is passed on about one member. by: who says that it is suspect or dead, null otherwise.
 * counter: how often the owner has changed what it tells, in this life; told: those bytes as the
 * owner wrote them, null where only counter is passed on. A claim is never changed, so that one
 * object may stand in many views.
 */
public record Claim(
        MemberId id,
        Endpoint at,
        Incarnation incarnation,
        Standing standing,
        MemberId by,
        long counter,
        Told told) {

    /** Whether this one counts over another of the same member. */
    public boolean supersedes(Claim other) {
        int order = incarnation.compareTo(other.incarnation);
        return order > 0 || order == 0 && standing.compareTo(other.standing) > 0;
    }

    /** Whether the owner has told more here than there. */
    public boolean tellsMoreThan(Claim other) {
        if (told == null) {
            return false;
        }
        boolean later = incarnation.life() > other.incarnation.life();
        return later
                || incarnation.life() == other.incarnation.life()
                        && (counter > other.counter
                                || counter == other.counter && other.told == null);
    }

    public Claim is(Standing other, MemberId who) {
        return new Claim(id, at, incarnation, other, who, counter, told);
    }

    /** What the owner tells goes with its life, not with its turn or with what others say of it. */
    public Claim tells(long newest, Told what) {
        return new Claim(id, at, incarnation, standing, by, newest, what);
    }

    /** Without what the owner tells: for a word on its standing. */
    public Claim bare() {
        return told == null ? this : new Claim(id, at, incarnation, standing, by, 0, null);
    }

    /** Bytes on the wire, at most; the codec's tests hold it to that. */
    public int bytes() {
        int who = by == null ? 1 : by.name().length() + 2;
        return 35
                + id.name().length()
                + at.host().length()
                + who
                + (told == null ? 1 : told.bytes() + 3);
    }
}
