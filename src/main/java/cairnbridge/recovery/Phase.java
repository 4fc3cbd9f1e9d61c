package cairnbridge.recovery;

/** How far a proxy's return is; in this order, each at most once in a life. */
public enum Phase {
    /** Who else is there. */
    VIEW("members"),
    /** A list of nodes, and whether it is to be believed. */
    ROSTER("a list of nodes"),
    /** A first answer of the origin's. */
    ORIGIN("an answer of the origin"),
    /** Writes and the dearest classes. */
    WRITES("the first writes"),
    /** Reads of keys, so many at a time as the origin bears. */
    READS("the origin to bear all that is asked"),
    /** Nothing is held back any more. */
    ALL("nothing");

    private final String waitsFor;

    Phase(String waitsFor) {
        this.waitsFor = waitsFor;
    }

    /** As members tell it: the place of a phase from 1 on, 0 where nothing is held back. */
    public int told() {
        return this == ALL ? 0 : ordinal() + 1;
    }

    /** Null for 0; a place that only a newer program has reads as the last one known. */
    static Phase of(int told) {
        return told == 0 ? null : values()[Math.min(told, values().length) - 1];
    }

    public String waitsFor() {
        return waitsFor;
    }
}
