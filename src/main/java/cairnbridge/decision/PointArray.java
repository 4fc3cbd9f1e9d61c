package cairnbridge.decision;

import java.util.Arrays;

/**
 * An array of ints in chunks. It grows and shrinks by whole chunks, so that a change of its length
 * needs no second array of its size.
 */
final class PointArray {
    private static final int INDEX_BITS = 14;
    private static final int CHUNK_LENGTH = 1 << INDEX_BITS;
    private static final int INDEX_MASK = CHUNK_LENGTH - 1;

    private int[][] chunks = {};

    int get(int index) {
        return chunks[index >>> INDEX_BITS][index & INDEX_MASK];
    }

    void set(int index, int value) {
        chunks[index >>> INDEX_BITS][index & INDEX_MASK] = value;
    }

    /** Keeps the values below a length, and makes room for that many. */
    void resize(int length) {
        int oldCount = chunks.length;
        int newCount = (length + CHUNK_LENGTH - 1) >>> INDEX_BITS;
        chunks = Arrays.copyOf(chunks, newCount);
        for (int i = oldCount; i < newCount; i++) {
            chunks[i] = new int[CHUNK_LENGTH];
        }
    }
}
