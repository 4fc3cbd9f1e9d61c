package cairnbridge.decision;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The sorted points of a ring, each encoded as one long: the position in the high bits, then the
 * slot of the node that owns the point, then the point's rank among the points of that node. The
 * array is updated in place, so that an endpoint list change costs a single pass.
 */
final class RingPoints {
    private static final int RANK_BITS = 10;
    private static final int SLOT_AND_RANK_BITS = 26;

    /** The maximum number of points of one node. */
    static final int MAX_RANKS = 1 << RANK_BITS;

    private static final long POSITION_MASK = -1L << SLOT_AND_RANK_BITS;
    private long[] points = {};
    private int size;

    int size() {
        return size;
    }

    int slot(int index) {
        return (int) (points[index] & ~POSITION_MASK) >> RANK_BITS;
    }

    int rank(int index) {
        return (int) points[index] & (MAX_RANKS - 1);
    }

    /** Returns the index of the first point at or clockwise of a position. */
    int indexOf(long position) {
        int found = Arrays.binarySearch(points, 0, size, position & POSITION_MASK);
        int index = found >= 0 ? found : -found - 1;
        return index >= size ? 0 : index;
    }

    static long encode(long position, int slot, int rank) {
        return (position & POSITION_MASK) | ((long) slot << RANK_BITS) | rank;
    }

    /**
     * Removes the points of freed slots and merges the added points. The array of the added points
     * belongs to this instance from then on: a first list needs no second array of its size.
     */
    void change(BitSet freedSlots, long[] added) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (!freedSlots.get(slot(i))) {
                points[kept++] = points[i];
            }
        }
        Arrays.sort(added);
        size = kept + added.length;
        if (kept == 0) {
            points = added;
            return;
        }
        if (size > points.length) {
            points = Arrays.copyOf(points, size);
        }
        merge(kept, added);
    }

    /**
     * Merges the sorted added points into the kept points at the start of the array, filling the
     * array from its end.
     */
    private void merge(int kept, long[] added) {
        int keptLeft = kept;
        int addedLeft = added.length;
        for (int target = size - 1; addedLeft > 0; target--) {
            boolean isKeptLarger = keptLeft > 0 && points[keptLeft - 1] > added[addedLeft - 1];
            points[target] = isKeptLarger ? points[--keptLeft] : added[--addedLeft];
        }
    }
}
