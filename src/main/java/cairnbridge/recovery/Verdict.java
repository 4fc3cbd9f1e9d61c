package cairnbridge.recovery;

/**
 * What becomes of a new op. retryAfter, in tenths of a millisecond, counts for one that is nacked.
 */
public record Verdict(Kind kind, Why why, long retryAfter) {
    public static final Verdict TAKEN = new Verdict(Kind.TAKEN, Why.NONE, 0);

    public enum Kind {
        TAKEN,
        NACKED,
        DEAD_LETTERED
    }

    /**
     * PHASE: too early; LIST: nothing to be done twice by a list that is not confirmed; PACE: the
     * origin bears no more; JOINED: another op fetches that key; HIDDEN: a repeat whose first try
     * the loss may hide.
     */
    public enum Why {
        NONE,
        PHASE,
        LIST,
        PACE,
        JOINED,
        HIDDEN
    }

    static Verdict nack(Why why, long retryAfter) {
        return new Verdict(Kind.NACKED, why, retryAfter);
    }
}
