package cairnbridge.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.membership.MembershipStatistics;
import cairnbridge.fleet.membership.MembershipView;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes to the format of the admin answers on members: compares each with a
 * fixture that an earlier version wrote.
 */
class FleetStatusFormatTest {
    private static MembershipView view() {
        return new MembershipView(
                new MemberId("m0"),
                FleetFixtures.members(),
                0x1234abcdL,
                new MembershipStatistics(
                        new MembershipStatistics.Members(1, 1, 1, 1),
                        new MembershipStatistics.Counters(2, 3, 4, 5, 6, 7, 8, 9, 10, 11),
                        2,
                        13,
                        123_456));
    }

    @Test
    void membersTableMatchesFixture() throws Exception {
        assertEquals(
                Fixtures.text("members/members.txt"), FleetStatusFormatter.membersTable(view()));
    }

    @Test
    void membersJsonMatchesFixture() throws Exception {
        assertEquals(Fixtures.text("members/members.json"), FleetStatusFormatter.toJson(view()));
    }

    @Test
    void memberJsonMatchesFixture() throws Exception {
        assertEquals(
                Fixtures.text("members/member.json"),
                FleetStatusFormatter.toJson(FleetFixtures.members().get(0)));
    }
}
