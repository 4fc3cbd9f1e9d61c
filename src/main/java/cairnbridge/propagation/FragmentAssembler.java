package cairnbridge.propagation;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Puts fragments together again, one change at a time. It is given only what its owner can take
 * next; should that be several changes, as after a new epoch, the latest is put together.
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

    /** Bytes held for a change that is not whole yet. */
    int bytes() {
        return bytes;
    }

    /**
     * The change, where this fragment makes one whole; fragments at odds with others are dropped.
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

    /** Forgets what is no longer needed by one who holds all up to a position. */
    void discardUpTo(Position held) {
        if (current != null && !current.position().isAfter(held)) {
            reset();
        }
    }

    private boolean isOfSameChange(Fragment fragment) {
        return fragment.position().equals(current.position()) && fragment.count() == current.count();
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
                        current.position(), current.previous(), current.superseding(), body.toByteArray());
        reset();
        return change;
    }
}
