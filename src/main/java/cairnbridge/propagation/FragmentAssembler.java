package cairnbridge.propagation;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Reassembles fragmented changes, one at a time. The owner adds only fragments of changes that it
 * can apply next; if several changes qualify, as after a new epoch, the latest is reassembled.
 */
final class FragmentAssembler {
    private final int maxBytes;
    private Fragment current;
    private byte[][] parts;
    private int missing;
    private int bytes;

    FragmentAssembler(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** The number of bytes buffered for an incomplete change. */
    int bytes() {
        return bytes;
    }

    /**
     * Adds a fragment; returns the change if it is complete now. Invalid fragments, and fragments
     * inconsistent with those already buffered, are dropped.
     */
    Optional<Change> add(Fragment fragment) {
        if (fragment.count() < 1
                || fragment.count() > maxBytes
                || fragment.index() < 0
                || fragment.index() >= fragment.count()
                || !fragment.position().isAfter(fragment.previous())) {
            return Optional.empty();
        }
        if (fragment.count() == 1) {
            return fragment.bytes().length > maxBytes
                    ? Optional.empty()
                    : Optional.of(fragment.toChange());
        }
        if (current == null || fragment.position().isAfter(current.position())) {
            startChange(fragment);
        }
        if (!isOfSameChange(fragment) || parts[fragment.index()] != null) {
            return Optional.empty();
        }
        if (bytes + fragment.bytes().length > maxBytes) {
            reset();
            return Optional.empty();
        }
        parts[fragment.index()] = fragment.bytes();
        bytes += fragment.bytes().length;
        return --missing > 0 ? Optional.empty() : Optional.of(assemble());
    }

    /** Discards the incomplete change if its position is not after the given one. */
    void discardUpTo(Position receivedUpTo) {
        if (current != null && !current.position().isAfter(receivedUpTo)) {
            reset();
        }
    }

    private boolean isOfSameChange(Fragment fragment) {
        return fragment.position().equals(current.position())
                && fragment.count() == current.count();
    }

    private void startChange(Fragment fragment) {
        current = fragment;
        parts = new byte[fragment.count()][];
        missing = fragment.count();
        bytes = 0;
    }

    private void reset() {
        current = null;
        parts = null;
        bytes = 0;
    }

    private Change assemble() {
        ByteArrayOutputStream body = new ByteArrayOutputStream(bytes);
        for (byte[] part : parts) {
            body.writeBytes(part);
        }
        Change change =
                new Change(
                        current.position(),
                        current.previous(),
                        current.superseding(),
                        body.toByteArray());
        reset();
        return change;
    }
}
