package cairnbridge.propagation;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Puts pieces together again, one change at a time. It is given only what its owner can take next;
 * should that be several changes, as after a new epoch, the latest is put together.
 */
final class PieceAssembly {
    private final int mostBytes;
    private Piece like;
    private byte[][] parts;
    private int missing;
    private int bytes;

    PieceAssembly(int mostBytes) {
        this.mostBytes = mostBytes;
    }

    /** Bytes held for a change that is not whole yet. */
    int bytes() {
        return bytes;
    }

    /** The change, where this piece makes one whole; pieces at odds with others are dropped. */
    Optional<Change> add(Piece piece) {
        if (piece.count() < 1
                || piece.count() > mostBytes
                || piece.index() < 0
                || piece.index() >= piece.count()
                || !piece.position().isAfter(piece.previous())) {
            return Optional.empty();
        }
        if (piece.count() == 1) {
            return piece.bytes().length > mostBytes
                    ? Optional.empty()
                    : Optional.of(piece.wholeChange());
        }
        if (like == null || piece.position().isAfter(like.position())) {
            begin(piece);
        }
        if (!isOfSameChange(piece) || parts[piece.index()] != null) {
            return Optional.empty();
        }
        if (bytes + piece.bytes().length > mostBytes) {
            drop();
            return Optional.empty();
        }
        parts[piece.index()] = piece.bytes();
        bytes += piece.bytes().length;
        return --missing > 0 ? Optional.empty() : Optional.of(finish());
    }

    /** Forgets what is no longer needed by one who holds all up to a position. */
    void forget(Position held) {
        if (like != null && !like.position().isAfter(held)) {
            drop();
        }
    }

    private boolean isOfSameChange(Piece piece) {
        return piece.position().equals(like.position()) && piece.count() == like.count();
    }

    private void begin(Piece piece) {
        like = piece;
        parts = new byte[piece.count()][];
        missing = piece.count();
        bytes = 0;
    }

    private void drop() {
        like = null;
        parts = null;
        bytes = 0;
    }

    private Change finish() {
        ByteArrayOutputStream body = new ByteArrayOutputStream(bytes);
        for (byte[] part : parts) {
            body.writeBytes(part);
        }
        Change change =
                new Change(
                        like.position(), like.previous(), like.superseding(), body.toByteArray());
        drop();
        return change;
    }
}
