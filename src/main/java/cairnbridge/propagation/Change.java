package cairnbridge.propagation;

/**
 * A versioned change of one topic.
 *
 * @param position its position in the topic's order
 * @param previous the position of the preceding change; a receiver that has not reached it has a
 *     gap
 * @param superseding whether it replaces all earlier changes, as a complete configuration does; a
 *     receiver may then skip them
 * @param body the payload, opaque to this package; must not be modified
 */
public record Change(Position position, Position previous, boolean superseding, byte[] body) {
    /** Requires the position to be after that of the preceding change. */
    public Change {
        if (!position.isAfter(previous)) {
            throw new IllegalArgumentException(
                    "the position of a change must be after that of the preceding change");
        }
    }

    /** Whether a receiver with all changes up to a position can apply this change next. */
    public boolean follows(Position receivedUpTo) {
        return position.isAfter(receivedUpTo) && (superseding || !previous.isAfter(receivedUpTo));
    }
}
