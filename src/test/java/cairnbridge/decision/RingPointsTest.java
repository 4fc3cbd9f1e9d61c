package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The points of a ring: their order, and what changes as nodes join and leave. */
class RingPointsTest {
    private static final int SLOT_AND_RANK_BITS = 26;
    private static final int RANK_BITS = 10;
    private static final int POINTS_OF_SIZE_1 = 256;
    private static final int KEYS = 20_000;

    private final RingPoints ring = new RingPoints();

    private static NodePoints node(long id, int slot, double size) {
        long hash = SplitMix64.mix(id);
        return new NodePoints(hash, slot, (int) (POINTS_OF_SIZE_1 * size));
    }

    private static List<NodePoints> nodes(int from, int to, double size) {
        List<NodePoints> nodes = new ArrayList<>();
        for (int i = from; i < to; i++) {
            nodes.add(node(i, i, size));
        }
        return nodes;
    }

    /** The points as numbers of 38 bits of position, 16 of slot and 10 of rank, in their order. */
    private static long[] sortedPoints(List<NodePoints> nodes) {
        List<Long> points = new ArrayList<>();
        for (NodePoints node : nodes) {
            for (int rank = 0; rank < node.count(); rank++) {
                long position = SplitMix64.mix(node.nodeHash() + rank);
                long slotAndRank = ((long) node.slot() << RANK_BITS) + rank;
                points.add((position >> SLOT_AND_RANK_BITS << SLOT_AND_RANK_BITS) + slotAndRank);
            }
        }
        return points.stream().mapToLong(point -> point).sorted().toArray();
    }

    private void assertPoints(List<NodePoints> nodes) {
        long[] expected = sortedPoints(nodes);
        assertEquals(expected.length, ring.size());
        for (int i = 0; i < expected.length; i++) {
            int slotAndRank = (int) expected[i] & ((1 << SLOT_AND_RANK_BITS) - 1);
            assertEquals(slotAndRank, (ring.slot(i) << RANK_BITS) + ring.rank(i), "point " + i);
        }
        Random random = new Random(1);
        for (int i = 0; i < KEYS; i++) {
            long key = random.nextLong();
            long masked = key >> SLOT_AND_RANK_BITS << SLOT_AND_RANK_BITS;
            int found = Arrays.binarySearch(expected, masked);
            int index = found >= 0 ? found : -found - 1;
            assertEquals(index == expected.length ? 0 : index, ring.indexOf(key));
        }
    }

    private void add(List<NodePoints> nodes) {
        ring.change(new BitSet(), nodes);
    }

    private static BitSet slots(int from, int to) {
        BitSet slots = new BitSet();
        slots.set(from, to);
        return slots;
    }

    private int[] ownersOfKeys() {
        return new Random(2).longs(KEYS).mapToInt(key -> ring.slot(ring.indexOf(key))).toArray();
    }

    /** Guards against a ring on which keys move as a proxy of a new version replaces an old one. */
    @Test
    void pointsAreOrderedByPositionThenSlotThenRank() {
        add(nodes(0, 28, 1));

        assertPoints(nodes(0, 28, 1));
    }

    /** Guards against points that are lost or doubled between the sections of a large list. */
    @Test
    void aListOfManyLargeNodesHasAllTheirPointsInOrder() {
        List<NodePoints> fleet = nodes(0, 200, 4);
        fleet.addAll(nodes(200, 600, 0.5));

        add(fleet);

        assertPoints(fleet);
    }

    /** Guards against points of former nodes that stay, or points in their slots that are lost. */
    @Test
    void changesInARowLeadToTheRingOfTheLastFleet() {
        add(nodes(0, 300, 4));
        ring.change(slots(0, 300), List.of());
        assertEquals(0, ring.size());
        add(nodes(0, 100, 2));
        List<NodePoints> others = new ArrayList<>();
        for (int slot = 0; slot < 90; slot++) {
            others.add(node(1000 + slot, slot, 3));
        }

        ring.change(slots(0, 90), others);

        others.addAll(nodes(90, 100, 2));
        assertPoints(others);
    }

    /** Guards against keys that leave nodes which the endpoint list has not changed. */
    @Test
    void aNodeThatJoinsALargeFleetTakesKeysOnlyToItself() {
        add(nodes(0, 3199, 4));
        int[] before = ownersOfKeys();

        add(nodes(3199, 3200, 4));

        int[] after = ownersOfKeys();
        for (int i = 0; i < KEYS; i++) {
            assertTrue(after[i] == before[i] || after[i] == 3199, before[i] + " to " + after[i]);
        }
    }

    /** Guards against large fleets whose nodes get the same share of keys whatever their size. */
    @Test
    void sharesFollowTheSizesOfNodesInALargeFleet() {
        List<NodePoints> fleet = nodes(0, 1600, 4);
        fleet.addAll(nodes(1600, 3200, 1));

        add(fleet);

        long ofLarge = Arrays.stream(ownersOfKeys()).filter(slot -> slot < 1600).count();
        assertEquals(0.8, (double) ofLarge / KEYS, 0.02);
    }
}
