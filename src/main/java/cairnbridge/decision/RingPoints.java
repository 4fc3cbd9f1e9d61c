package cairnbridge.decision;

import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/**
 * The sorted points of a ring. Stored of each are only the slot of the node that owns it and its
 * rank among the points of that node; its position is computed from these. Points are ordered by
 * the high bits of their positions, then by slot, then by rank.
 *
 * <p>The points are updated in place: a change of the endpoint list costs a few passes and, however
 * many points it adds, needs no second array of the ring's size.
 */
final class RingPoints {
    private static final int RANK_BITS = 10;
    private static final int SLOT_AND_RANK_BITS = 26;

    /** The maximum number of points of one node. */
    static final int MAX_RANKS = 1 << RANK_BITS;

    private static final long POSITION_MASK = -1L << SLOT_AND_RANK_BITS;

    private final PointArray points = new PointArray();
    private int size;

    /** The hash of the node in each slot. */
    private long[] nodeHashes = {};

    int size() {
        return size;
    }

    int slot(int index) {
        return points.get(index) >> RANK_BITS;
    }

    int rank(int index) {
        return points.get(index) & (MAX_RANKS - 1);
    }

    /** Returns the index of the first point at or clockwise of a position. */
    int indexOf(long position) {
        int index = firstNotBelow(position & POSITION_MASK, 0, size);
        return index >= size ? 0 : index;
    }

    /** Returns the index of the first point in a range with at least this key, its end if none. */
    int firstNotBelow(long key, int from, int to) {
        int low = from;
        int high = to;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (sortKey(middle) < key) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return low;
    }

    /** Returns the number by which points are ordered; {@link #store} stores the point it is of. */
    long sortKey(int index) {
        int slot = slot(index);
        int rank = rank(index);
        long position = NodePoints.position(nodeHashes[slot], rank);
        return (position & POSITION_MASK) | ((long) slot << RANK_BITS) | rank;
    }

    /** Stores the point with this sort key. */
    void store(int index, long sortKey) {
        points.set(index, (int) (sortKey & ~POSITION_MASK));
    }

    /** Stores a point. */
    void store(int index, int slot, int rank) {
        points.set(index, slot << RANK_BITS | rank);
    }

    /** Stores a point at a further index. */
    void copy(int from, int to) {
        points.set(to, points.get(from));
    }

    /** Removes the points of freed slots, and adds the points of nodes that have joined. */
    void change(BitSet freedSlots, List<NodePoints> joined) {
        int kept = remove(freedSlots);
        joined.forEach(this::storeNodeHash);
        size = kept + joined.stream().mapToInt(NodePoints::count).sum();
        points.resize(size);
        if (size > kept) {
            new PointMerge(this, kept, joined).run();
        }
    }

    /** Moves the points that stay to the start; returns their number. */
    private int remove(BitSet freedSlots) {
        if (freedSlots.isEmpty()) {
            return size;
        }
        int kept = 0;
        for (int i = 0; i < size; i++) {
            if (!freedSlots.get(slot(i))) {
                copy(i, kept++);
            }
        }
        return kept;
    }

    private void storeNodeHash(NodePoints node) {
        if (node.slot() >= nodeHashes.length) {
            int length = Math.max(node.slot() + 1, nodeHashes.length + nodeHashes.length / 2);
            nodeHashes = Arrays.copyOf(nodeHashes, length);
        }
        nodeHashes[node.slot()] = node.nodeHash();
    }
}
