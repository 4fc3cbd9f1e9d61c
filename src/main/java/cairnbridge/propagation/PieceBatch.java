package cairnbridge.propagation;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Gathers pieces into as few messages as they fit. */
final class PieceBatch {
    private final int mostBytes;
    private final Consumer<List<Piece>> sender;
    private List<Piece> pieces = new ArrayList<>();
    private int bytes;

    PieceBatch(int mostBytes, Consumer<List<Piece>> sender) {
        this.mostBytes = mostBytes;
        this.sender = sender;
    }

    void add(Piece piece) {
        if (bytes + piece.size() > mostBytes) {
            flush();
        }
        pieces.add(piece);
        bytes += piece.size();
    }

    /** Sends what is left. */
    void flush() {
        if (!pieces.isEmpty()) {
            sender.accept(pieces);
            pieces = new ArrayList<>();
            bytes = 0;
        }
    }
}
