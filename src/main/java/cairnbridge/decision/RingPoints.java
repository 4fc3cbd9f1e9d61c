package cairnbridge.decision;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The sorted points of a ring, one long each: the place in the high bits, then the slot of the node
 * that owns the point and the point's rank among that node's own. Changed in place: a list change
 * costs one pass.
 */
final class RingPoints {
    private static final int RANK_BITS = 10;
    private static final int LOW_BITS = 26;

    /** The most points of one node. */
    static final int MAX_RANKS = 1 << RANK_BITS;

    private static final long PLACE_MASK = -1L << LOW_BITS;
    private long[] points = {};
    private int size;

    int size() {
        return size;
    }

    int slot(int index) {
        return (int) (points[index] & ~PLACE_MASK) >> RANK_BITS;
    }

    int rank(int index) {
        return (int) points[index] & (MAX_RANKS - 1);
    }

    /** The first point at or clockwise of a place. */
    int indexOf(long place) {
        int found = Arrays.binarySearch(points, 0, size, place & PLACE_MASK);
        int index = found >= 0 ? found : -found - 1;
        return index >= size ? 0 : index;
    }

    static long encode(long place, int slot, int rank) {
        return (place & PLACE_MASK) | ((long) slot << RANK_BITS) | rank;
    }

    /** Takes out the points of slots that were freed, and merges in points that were added. */
    void change(BitSet freedSlots, long[] added) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (!freedSlots.get(slot(i))) {
                points[kept++] = points[i];
            }
        }
        Arrays.sort(added);
        size = kept + added.length;
        if (size > points.length) {
            points = Arrays.copyOf(points, size);
        }
        merge(kept, added);
    }

    /** Merges sorted points into the first ones of the array, from the end. */
    private void merge(int kept, long[] added) {
        int keptLeft = kept;
        int addedLeft = added.length;
        for (int to = size - 1; addedLeft > 0; to--) {
            boolean takesKept = keptLeft > 0 && points[keptLeft - 1] > added[addedLeft - 1];
            points[to] = takesKept ? points[--keptLeft] : added[--addedLeft];
        }
    }
}
