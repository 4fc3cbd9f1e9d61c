package cairnbridge.propagation;

/**
 * A part of a change that fits into one datagram; a small change has a single fragment.
 *
 * @param position of the change
 * @param previous of the change
 * @param superseding of the change
 * @param index the index of this fragment, from 0
 * @param count the number of fragments of the change
 * @param bytes the section of the body in this fragment
 */
public record Fragment(
        Position position,
        Position previous,
        boolean superseding,
        int index,
        int count,
        byte[] bytes) {
    /** The assumed encoded size in bytes of positions, flag, index, count and length. */
    static final int HEADER_BYTES = 16;

    /** Whether a receiver with all changes up to a position can apply the change next. */
    boolean follows(Position receivedUpTo) {
        return position.isAfter(receivedUpTo) && (superseding || !previous.isAfter(receivedUpTo));
    }

    /** Converts the only fragment of a change to that change. */
    Change toChange() {
        return new Change(position, previous, superseding, bytes);
    }

    /** The assumed encoded size in bytes of this fragment, header included. */
    int size() {
        return HEADER_BYTES + bytes.length;
    }
}
