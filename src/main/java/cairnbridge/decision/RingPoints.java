package cairnbridge.decision;

import java.util.Arrays;
import java.util.BitSet;

/**
 * The sorted points of a ring, one long each: the place in the high bits, then the slot of the node
 * that owns the point and the point's rank among that node's own. Changed in place: a list change
 * costs one pass.
 */
final class RingPoints {
    private static final int RANK_BITS = 10, LOW_BITS = 26;
    static final int MOST_RANKS = 1 << RANK_BITS;
    private static final long PLACE = -1L << LOW_BITS;
    private long[] marks = {};
    private int size;

    int size() {
        return size;
    }

    int slot(int at) {
        return (int) (marks[at] & ~PLACE) >> RANK_BITS;
    }

    int rank(int at) {
        return (int) marks[at] & MOST_RANKS - 1;
    }

    /** The first point at or clockwise of a place. */
    int indexOf(long place) {
        int found = Arrays.binarySearch(marks, 0, size, place & PLACE);
        int at = found >= 0 ? found : -found - 1;
        return at >= size ? 0 : at;
    }

    static long mark(long place, int slot, int rank) {
        return place & PLACE | (long) slot << RANK_BITS | rank;
    }

    /** Takes out the points of the slots that went and merges in the marks that came. */
    void change(BitSet gone, long[] fresh) {
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (!gone.get(slot(i))) {
                marks[kept++] = marks[i];
            }
        }
        Arrays.sort(fresh);
        size = kept + fresh.length;
        if (size > marks.length) {
            marks = Arrays.copyOf(marks, size);
        }
        for (int to = size - 1, left = fresh.length - 1; left >= 0; to--) {
            marks[to] = kept > 0 && marks[kept - 1] > fresh[left] ? marks[--kept] : fresh[left--];
        }
    }
}
