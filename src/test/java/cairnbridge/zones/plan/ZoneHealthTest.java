package cairnbridge.zones.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.ZoneOutcome;
import cairnbridge.hash.Fnv1a;
import cairnbridge.zones.plan.ZoneStatus.Condition;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The condition of a zone in a large fleet, in which each member announces rarely. */
class ZoneHealthTest {
    private static final long SECOND = 10_000;
    private static final int MEMBERS = 96;
    private final ZoneHealth health =
            new ZoneHealth(
                    new ZoneHealth.NodeRates(60, 0.25, 3 * SECOND, Map.of("a", "r", "b", "r")));
    private final List<ListedNode> listedNodes =
            IntStream.range(0, 128)
                    .mapToObj(i -> new ListedNode(i, new Zone(i % 2 == 0 ? "a" : "b"), true, 1, 0))
                    .toList();
    private final List<MemberState> liveMembers = new ArrayList<>();

    ZoneHealthTest() {
        for (int i = 0; i < MEMBERS; i++) {
            liveMembers.add(memberState(i, 1, false));
        }
    }

    private static MemberState memberState(int member, long counter, boolean unreachable) {
        long a = Fnv1a.hash("a");
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location(member % 2 == 0 ? "a" : "b", "r")
                        .protocolVersion(2)
                        .metrics(
                                new MemberMetrics(
                                        new MemberMetrics.Load(0, 0, 10),
                                        new MemberMetrics.EndpointListStatus(1, true),
                                        new MemberMetrics.Reachability(
                                                List.of(),
                                                List.of(
                                                        new ZoneOutcome(
                                                                a, 10, unreachable ? 10 : 0)),
                                                unreachable ? List.of(a) : List.of())))
                        .build();
        return new MemberState(
                new MemberId("p" + member),
                new Endpoint("10.0.0.1", 1000 + member),
                new Incarnation(1, 0),
                MemberStatus.ALIVE,
                null,
                counter,
                metadata);
    }

    private void announce(int from, int to, boolean unreachable) {
        for (int i = from; i < to; i++) {
            liveMembers.set(
                    i, memberState(i, liveMembers.get(i).metadataVersion() + 1, unreachable));
        }
    }

    private Condition conditionOfZoneA(long now) {
        return health.evaluate(liveMembers, listedNodes, now, 0).stream()
                .filter(status -> status.zone().equals(new Zone("a")))
                .findFirst()
                .orElseThrow()
                .condition();
    }

    /**
     * Guards against late detection of an unreachable zone in a large fleet: if all announcements
     * counted, half of the members would have to announce again first, because most announcements
     * are older than the failure and no member has sent requests to all nodes of the zone.
     */
    @Test
    void recentAnnouncementsDecideDespiteMoreOutdatedOnes() {
        assertEquals(Condition.HEALTHY, conditionOfZoneA(SECOND));
        announce(0, 20, false);
        assertEquals(Condition.HEALTHY, conditionOfZoneA(5 * SECOND));
        announce(20, 39, true);
        assertEquals(Condition.HEALTHY, conditionOfZoneA(6 * SECOND), "19 of 39");
        announce(39, 42, true);
        assertEquals(
                Condition.UNREACHABLE,
                conditionOfZoneA(7 * SECOND),
                "22 of 42; the other announcements are outdated");
        announce(20, 42, false);
        assertEquals(Condition.HEALTHY, conditionOfZoneA(8 * SECOND));
    }

    @Test
    void aZoneThatOnlyOneMemberCannotReachIsHealthy() {
        conditionOfZoneA(SECOND);
        announce(0, 1, true);
        assertEquals(
                Condition.HEALTHY,
                conditionOfZoneA(9 * SECOND),
                "too few recent announcements, so all members count");
    }
}
