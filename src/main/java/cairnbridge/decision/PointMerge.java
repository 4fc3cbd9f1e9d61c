package cairnbridge.decision;

import java.util.Arrays;
import java.util.List;

/**
 * Adds the points of nodes to the sorted points at the start of a ring's array, in place. The ring
 * is cut into sections of about the same number of added points. The kept points of each section
 * are moved to its place in the array, the added ones are put behind them, and then one section
 * after the other is sorted: only the keys of its added points need memory.
 */
final class PointMerge {
    /** The mean number of added points of a section. */
    private static final int POINTS_PER_SECTION = 1 << 14;

    private final RingPoints points;
    private final List<NodePoints> joined;
    private final int sectionCount;

    /** The index of each section's first kept point before the merge, and the end of the last. */
    private final int[] keptStarts;

    /** The index of each section's first point after the merge, and the end of the last. */
    private final int[] starts;

    /**
     * Creates a merge.
     *
     * @param points the array, large enough for all points
     * @param kept the number of sorted points at its start
     * @param joined the nodes whose points are added
     */
    PointMerge(RingPoints points, int kept, List<NodePoints> joined) {
        this.points = points;
        this.joined = joined;
        sectionCount = (points.size() - kept) / POINTS_PER_SECTION + 1;
        keptStarts = new int[sectionCount + 1];
        keptStarts[sectionCount] = kept;
        starts = new int[sectionCount + 1];
        starts[sectionCount] = points.size();
    }

    void run() {
        findStarts();
        moveKept();
        placeAdded();
        sortSections();
    }

    private void findStarts() {
        int[] addedCounts = countAdded();
        int addedBefore = 0;
        for (int section = 1; section < sectionCount; section++) {
            addedBefore += addedCounts[section - 1];
            keptStarts[section] =
                    points.firstNotBelow(
                            firstPosition(section),
                            keptStarts[section - 1],
                            keptStarts[sectionCount]);
            starts[section] = keptStarts[section] + addedBefore;
        }
    }

    private int[] countAdded() {
        int[] counts = new int[sectionCount];
        for (NodePoints node : joined) {
            for (int rank = 0; rank < node.count(); rank++) {
                counts[sectionOf(node.position(rank))]++;
            }
        }
        return counts;
    }

    /** Moves the kept points to the starts of their sections, beginning with the last point. */
    private void moveKept() {
        for (int section = sectionCount - 1; section > 0; section--) {
            int distance = starts[section] - keptStarts[section];
            for (int i = keptStarts[section + 1] - 1; i >= keptStarts[section]; i--) {
                points.copy(i, i + distance);
            }
        }
    }

    private int keptEnd(int section) {
        return starts[section] + keptStarts[section + 1] - keptStarts[section];
    }

    /** Puts the added points behind the kept points of their sections, in any order. */
    private void placeAdded() {
        int[] next = new int[sectionCount];
        Arrays.setAll(next, this::keptEnd);
        for (NodePoints node : joined) {
            for (int rank = 0; rank < node.count(); rank++) {
                int section = sectionOf(node.position(rank));
                points.store(next[section]++, node.slot(), rank);
            }
        }
    }

    private void sortSections() {
        for (int section = 0; section < sectionCount; section++) {
            long[] addedKeys = addedKeys(section);
            Arrays.sort(addedKeys);
            merge(section, addedKeys);
        }
    }

    private long[] addedKeys(int section) {
        int firstAdded = keptEnd(section);
        long[] keys = new long[starts[section + 1] - firstAdded];
        Arrays.setAll(keys, i -> points.sortKey(firstAdded + i));
        return keys;
    }

    /** Merges sorted keys into the kept points of a section, filling it from its end. */
    private void merge(int section, long[] addedKeys) {
        int target = starts[section + 1] - 1;
        int keptEnd = keptEnd(section);
        for (int i = addedKeys.length - 1; i >= 0; i--) {
            int keptBelow = findBelow(addedKeys[i], starts[section], keptEnd);
            while (keptEnd > keptBelow) {
                points.copy(--keptEnd, target--);
            }
            points.store(target--, addedKeys[i]);
        }
    }

    /**
     * Returns the end of the kept points below a key. The search begins at the last of them and
     * doubles its steps: few points that join do not cost a key for each that stays, and many that
     * join cost few keys each.
     */
    private int findBelow(long key, int from, int to) {
        int high = to;
        int low = to - 1;
        int step = 1;
        while (low >= from && points.sortKey(low) >= key) {
            high = low;
            low -= step;
            step *= 2;
        }
        return points.firstNotBelow(key, Math.max(from, low + 1), high);
    }

    /** Returns the section of a position. */
    private int sectionOf(long position) {
        long highBits = (position >> Integer.SIZE) - Integer.MIN_VALUE;
        return (int) ((highBits * sectionCount) >>> Integer.SIZE);
    }

    /** Returns the lowest position of a section. */
    private long firstPosition(int section) {
        long highBits = (((long) section << Integer.SIZE) + sectionCount - 1) / sectionCount;
        return (highBits + Integer.MIN_VALUE) << Integer.SIZE;
    }
}
