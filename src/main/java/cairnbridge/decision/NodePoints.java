package cairnbridge.decision;

import cairnbridge.hash.SplitMix64;

/**
 * The points of one node on the ring: those with the ranks from 0 to below the count.
 *
 * @param nodeHash the hash of the node's id, which the positions of its points follow from
 * @param slot the node's slot on the ring
 * @param count the number of points
 */
record NodePoints(long nodeHash, int slot, int count) {
    /** Returns the position of a point of the node with this hash. */
    static long position(long nodeHash, int rank) {
        return SplitMix64.mix(nodeHash + rank);
    }

    long position(int rank) {
        return position(nodeHash, rank);
    }
}
