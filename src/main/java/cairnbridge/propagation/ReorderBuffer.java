package cairnbridge.propagation;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Buffers changes that arrived before their predecessors until the gap is closed; bounded in bytes.
 */
final class ReorderBuffer {
    private final int maxBytes;
    private final TreeMap<Position, Change> changes = new TreeMap<>();
    private int bytes;

    ReorderBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    int bytes() {
        return bytes;
    }

    /** Buffers a change if there is room; ignores it otherwise. */
    void add(Change change) {
        int size = sizeOf(change);
        if (bytes + size <= maxBytes && changes.putIfAbsent(change.position(), change) == null) {
            bytes += size;
        }
    }

    /**
     * Removes and returns the change that a receiver with all changes up to a position can apply
     * next. Obsolete changes are removed on the way.
     */
    Optional<Change> takeNext(Position receivedUpTo) {
        while (!changes.isEmpty()) {
            Change first = changes.firstEntry().getValue();
            boolean follows = first.follows(receivedUpTo);
            if (!follows && first.position().isAfter(receivedUpTo)) {
                return Optional.empty();
            }
            changes.pollFirstEntry();
            bytes -= sizeOf(first);
            if (follows) {
                return Optional.of(first);
            }
        }
        return Optional.empty();
    }

    /**
     * The last position missing before the first buffered change; {@link Position#NONE} if nothing
     * is buffered.
     */
    Position missingTo() {
        Map.Entry<Position, Change> first = changes.firstEntry();
        return first == null ? Position.NONE : first.getValue().previous();
    }

    private static int sizeOf(Change change) {
        return Fragment.HEADER_BYTES + change.body().length;
    }
}
