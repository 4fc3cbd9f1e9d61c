package cairnbridge.propagation;

import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest changes, retained for subscribers that are behind. A superseding change replaces all
 * earlier ones; the oldest changes are removed when the log exceeds its bounds.
 */
public final class RetainedLog {
    private final int maxChanges;
    private final int maxBytes;
    private final TreeMap<Position, Change> changes = new TreeMap<>();
    private Position last = Position.NONE;
    private int bytes;

    /** Creates an empty log with the bounds in the settings. */
    public RetainedLog(PropagationSettings settings) {
        maxChanges = settings.limits().logChanges();
        maxBytes = settings.limits().logBytes();
    }

    /**
     * Creates a log that contains only the change a subscriber had in force before a restart, if
     * any; of the changes before it, only the position is known.
     */
    static RetainedLog startingWith(PropagationSettings settings, Optional<Change> latest) {
        RetainedLog log = new RetainedLog(settings);
        latest.ifPresent(log::append);
        return log;
    }

    /** The position of the newest change appended; {@link Position#NONE} in an empty log. */
    public Position last() {
        return last;
    }

    /** The number of changes retained. */
    public int size() {
        return changes.size();
    }

    /** The total size of the retained bodies in bytes. */
    public int bytes() {
        return bytes;
    }

    /** Appends a change, whose position must be after that of the newest. */
    void append(Change change) {
        if (!change.position().isAfter(last)) {
            throw new IllegalArgumentException(change.position() + " is not after " + last);
        }
        if (change.superseding()) {
            changes.clear();
            bytes = 0;
        }
        changes.put(change.position(), change);
        bytes += change.body().length;
        last = change.position();
        while (changes.size() > 1 && (changes.size() > maxChanges || bytes > maxBytes)) {
            bytes -= changes.pollFirstEntry().getValue().body().length;
        }
    }

    /** The first retained change after a position, if any. */
    Optional<Change> after(Position receivedUpTo) {
        return Optional.ofNullable(changes.higherEntry(receivedUpTo))
                .map(entry -> entry.getValue());
    }

    /**
     * Whether a receiver with all changes up to a position needs changes that are no longer
     * retained.
     */
    boolean isTooShortFor(Position receivedUpTo) {
        Optional<Change> next = after(receivedUpTo);
        return next.isPresent() ? !next.get().follows(receivedUpTo) : last.isAfter(receivedUpTo);
    }
}
