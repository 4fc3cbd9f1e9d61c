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

/** Checks the candidate parents that the relay tree assigns. */
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
    void aMemberHasFewCandidateParents() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        int maxCandidates = 2 * RelayTree.CANDIDATES + CONTROLS.size();
        for (MemberLocation location : fleet()) {
            List<MemberId> parents = tree.parentsOf(location.member());
            assertTrue(parents.size() <= maxCandidates && parents.containsAll(CONTROLS));
            assertFalse(parents.contains(location.member()));
        }
    }

    @Test
    void candidateParentsFormNoCycle() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        Set<MemberId> removed = new HashSet<>(CONTROLS);
        List<MemberId> remaining =
                new ArrayList<>(fleet().stream().map(MemberLocation::member).toList());
        while (remaining.removeIf(
                member -> removed.containsAll(tree.parentsOf(member)) && removed.add(member))) {
            // Each round removes the members whose candidates have all been removed.
        }
        assertEquals(List.of(), remaining);
    }

    @Test
    void relaysOfARegionAreAtDifferentSites() {
        RelayTree tree = new RelayTree(CONTROLS, fleet());
        for (int i = 0; i < REGIONS; i++) {
            List<MemberId> relays = tree.relaysOfRegion("r" + i);
            long sites =
                    fleet().stream()
                            .filter(location -> relays.contains(location.member()))
                            .map(MemberLocation::site)
                            .distinct()
                            .count();
            assertEquals(RelayTree.CANDIDATES, sites);
        }
    }

    @Test
    void aDepartedRelayAffectsOnlyItsPossibleDownstreams() {
        RelayTree before = new RelayTree(CONTROLS, fleet());
        MemberId departed = before.relaysOfSite("s9").get(0);
        List<MemberLocation> remainingMembers =
                fleet().stream().filter(location -> !location.member().equals(departed)).toList();
        RelayTree after = new RelayTree(CONTROLS, remainingMembers);
        for (MemberLocation location : remainingMembers) {
            if (!before.parentsOf(location.member()).contains(departed)
                    && !after.relaysOfSite("s9").contains(location.member())) {
                assertEquals(
                        before.parentsOf(location.member()), after.parentsOf(location.member()));
            }
        }
    }
}
