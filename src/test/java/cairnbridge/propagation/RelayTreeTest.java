package cairnbridge.propagation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.MemberId;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Who may ask whom. */
class RelayTreeTest {
    private static final int MEMBERS = 1_800;
    private static final int SITES = 140;
    private static final int REGIONS = 11;
    private static final List<MemberId> CONTROLS =
            List.of(new MemberId("c1"), new MemberId("c2"), new MemberId("c3"));

    private static List<MemberLocation> fleet() {
        List<MemberLocation> fleet = new ArrayList<>();
        for (int i = 0; i < MEMBERS; i++) {
            int site = i % SITES;
            MemberId member = new MemberId("m" + i);
            fleet.add(new MemberLocation(member, "r" + site % REGIONS, "s" + site, i / SITES));
        }
        return fleet;
    }

    @Test
    void aMemberNeedsToKnowFewOthers() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        int most = 2 * RelayTree.CANDIDATES + CONTROLS.size();
        for (MemberLocation place : fleet()) {
            List<MemberId> parents = tree.parentsOf(place.member());
            assertTrue(parents.size() <= most && parents.containsAll(CONTROLS));
            assertFalse(parents.contains(place.member()));
        }
    }

    @Test
    void nobodyCanComeToFollowItself() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        Set<MemberId> free = new HashSet<>(CONTROLS);
        List<MemberId> left =
                new ArrayList<>(fleet().stream().map(MemberLocation::member).toList());
        while (left.removeIf(
                member -> free.containsAll(tree.parentsOf(member)) && free.add(member))) {
            // Each round frees those all of whose candidates are free.
        }
        assertEquals(List.of(), left);
    }

    @Test
    void relaysOfARegionStandAtDifferentSites() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        for (int i = 0; i < REGIONS; i++) {
            List<MemberId> relays = tree.relaysOfRegion("r" + i);
            long sites =
                    fleet().stream()
                            .filter(place -> relays.contains(place.member()))
                            .map(MemberLocation::site)
                            .distinct()
                            .count();
            assertEquals(RelayTree.CANDIDATES, sites);
        }
    }

    @Test
    void oneThatGoesMovesOnlyThoseWhoCouldAskIt() {
        RelayTree before = new RelayTree(CONTROLS, fleet());
        MemberId gone = before.relaysOfSite("s9").get(0);
        List<MemberLocation> fewer =
                fleet().stream().filter(place -> !place.member().equals(gone)).toList();
        RelayTree after = new RelayTree(CONTROLS, fewer);
        for (MemberLocation place : fewer) {
            if (!before.parentsOf(place.member()).contains(gone)
                    && !after.relaysOfSite("s9").contains(place.member())) {
                assertEquals(before.parentsOf(place.member()), after.parentsOf(place.member()));
            }
        }
    }
}
