package cairnbridge.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests the lookups of a view, each of which iterates over its members at most once. */
class MembershipViewTest {
    private static final MembershipStatistics NO_STATISTICS = MembershipStatistics.EMPTY;

    private static MemberState member(String name, MemberStatus status) {
        return new MemberState(
                new MemberId(name),
                new Endpoint("10.0.0.1", 1000),
                new Incarnation(1, 0),
                status,
                null,
                1,
                null);
    }

    private static MembershipView view(List<MemberState> members) {
        return new MembershipView(new MemberId("a"), members, 0, NO_STATISTICS);
    }

    @Test
    void stateOfFindsEachMemberAndNoUnknownOne() {
        List<MemberState> members = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            members.add(member("p" + i, MemberStatus.values()[i % MemberStatus.values().length]));
        }
        MembershipView view = view(members);
        for (MemberState expected : members) {
            assertSame(expected, view.stateOf(expected.id()).orElseThrow());
        }
        assertEquals(Optional.empty(), view.stateOf(new MemberId("p500")));
    }

    @Test
    void stateOfReturnsTheFirstOfTwoMembersWithTheSameName() {
        MemberState first = member("a", MemberStatus.ALIVE);
        assertSame(
                first,
                view(List.of(first, member("a", MemberStatus.DEAD)))
                        .stateOf(first.id())
                        .orElseThrow());
    }

    @Test
    void aliveAndSuspectMembersAreLive() {
        MemberState alive = member("a", MemberStatus.ALIVE);
        MemberState suspect = member("b", MemberStatus.SUSPECT);
        List<MemberState> all =
                List.of(
                        member("c", MemberStatus.DEAD),
                        suspect,
                        member("d", MemberStatus.LEFT),
                        alive);
        assertEquals(List.of(suspect, alive), view(all).liveMembers());
    }

    @Test
    void liveMembersAreComputedOncePerView() {
        MembershipView view = view(List.of(member("a", MemberStatus.ALIVE)));
        assertSame(view.liveMembers(), view.liveMembers());
    }

    @Test
    void viewCopiesTheMemberList() {
        List<MemberState> members = new ArrayList<>(List.of(member("a", MemberStatus.ALIVE)));
        MembershipView view = view(members);
        members.add(member("b", MemberStatus.ALIVE));
        assertEquals(1, view.liveMembers().size());
        assertEquals(Optional.empty(), view.stateOf(new MemberId("b")));
    }
}
