package cairnbridge.fleet.coordination;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.config.JsonObject;
import cairnbridge.config.SettingsReader;
import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.membership.MembershipStatistics;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.hash.Fnv1a;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests the uses of the membership view, each against a way in which it could do harm. */
class CoordinationTest {
    private static final long SECOND = 10_000;
    private final List<MemberState> members = new ArrayList<>();

    private CoordinationTest member(
            int number, String zone, MemberStatus status, boolean watching, Long... unreachable) {
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location(zone, "r")
                        .protocolVersion(2)
                        .metrics(
                                new MemberMetrics(
                                        new MemberMetrics.Load(0, 0, 0),
                                        new MemberMetrics.EndpointListStatus(0, watching),
                                        new MemberMetrics.Reachability(
                                                List.of(unreachable), List.of(), List.of())))
                        .build();
        members.add(
                new MemberState(
                        new MemberId("p" + number),
                        new Endpoint("10.0.0.1", 1000 + number),
                        new Incarnation(1, 0),
                        status,
                        null,
                        1,
                        metadata));
        return this;
    }

    private CoordinationTest members(int from, int to, String zone) {
        for (int i = from; i <= to; i++) {
            member(i, zone, MemberStatus.ALIVE, false);
        }
        return this;
    }

    private MembershipView view() {
        MembershipView view =
                new MembershipView(new MemberId("p1"), members, 0, MembershipStatistics.EMPTY);
        members.clear();
        return view;
    }

    private static int lastCount(
            LiveProxyCount count, MembershipView view, long from, int seconds) {
        int last = 0;
        for (long now = from; now <= from + seconds * SECOND; now += SECOND / 2) {
            last = count.update(view, now);
        }
        return last;
    }

    @Test
    void proxyCountRisesQuicklyAndFallsSlowly() {
        LiveProxyCount count = new LiveProxyCount(10, 0);
        assertEquals(10, count.update(members(1, 10, "a").view(), 0));
        assertEquals(
                30,
                lastCount(count, members(1, 30, "a").view(), 0, 8),
                "a fleet larger than configured");
        MembershipView fewer = members(1, 12, "a").view();
        int afterOneSecond = lastCount(count, fewer, 8 * SECOND, 1);
        assertTrue(afterOneSecond > 25, afterOneSecond + " one second after the deaths");
        assertEquals(12, lastCount(count, fewer, 9 * SECOND, 40));
    }

    /** Guards against two partitions that each claim the whole quota. */
    @Test
    void minorityPartitionCountsHalfTheConfiguredProxies() {
        LiveProxyCount count = new LiveProxyCount(20, 0);
        assertEquals(10, lastCount(count, members(1, 2, "a").view(), 0, 60));
    }

    @Test
    void nodeUnreachableForMostOfAZoneIsReportedOnce() {
        NodeSuspicions suspicions = new NodeSuspicions("a");
        member(1, "a", MemberStatus.ALIVE, false, 7L)
                .member(2, "a", MemberStatus.ALIVE, false, 7L, 8L)
                .member(3, "a", MemberStatus.ALIVE, false, 7L)
                .member(4, "a", MemberStatus.ALIVE, false)
                .member(5, "b", MemberStatus.ALIVE, false, 9L)
                .member(6, "b", MemberStatus.ALIVE, false, 9L)
                .member(7, "a", MemberStatus.DEAD, false, 8L)
                .member(8, "a", MemberStatus.DEAD, false, 8L);
        MembershipView view = view();
        assertEquals(
                List.of(7L),
                suspicions.newSuspicions(view),
                "node 8 is reported by one live and by dead members, 9 by another zone");
        assertEquals(List.of(), suspicions.newSuspicions(view));
        assertEquals(List.of(), suspicions.newSuspicions(members(1, 4, "a").view()));
        assertEquals(List.of(7L), suspicions.newSuspicions(view), "reachable again in between");
    }

    @Test
    void twoMembersAreTooFewToSuspectANode() {
        NodeSuspicions suspicions = new NodeSuspicions("a");
        member(1, "a", MemberStatus.ALIVE, false, 7L).member(2, "a", MemberStatus.ALIVE, false, 7L);
        assertEquals(List.of(), suspicions.newSuspicions(view()));
    }

    @Test
    void nodeIsUnreachableAfterTwoFailuresUntilASuccessOrExpiry() {
        ReachabilityReport report = new ReachabilityReport(2);
        report.record(1, false, 0);
        report.record(2, false, 0);
        report.record(2, false, 10);
        assertEquals(List.of(2L), report.unreachable(20));
        report.record(2, true, 30);
        report.record(1, false, 40);
        assertEquals(List.of(1L), report.unreachable(50));
        assertEquals(List.of(), report.unreachable(50 + 11 * SECOND));
        for (long node = 0; node < 100; node++) {
            report.record(node, false, 60);
            report.record(node, false, 61 + node);
        }
        assertEquals(100, report.unreachable(200).size());
        MemberMetadata metadata =
                MemberMetadata.builder()
                        .location("a", "r")
                        .protocolVersion(2)
                        .metrics(
                                new MemberMetrics(
                                        new MemberMetrics.Load(0, 0, 0),
                                        new MemberMetrics.EndpointListStatus(0, true),
                                        new MemberMetrics.Reachability(
                                                report.unreachable(200), List.of(), List.of())))
                        .build();
        assertEquals(
                MemberMetadata.MAX_UNREACHABLE_NODES,
                metadata.metrics().reachability().unreachableNodes().size(),
                "number of announced nodes");
    }

    /**
     * Guards against a failed zone that stays undetected because a proxy uses each of its many
     * caches too rarely, and against a failed zone that gets its traffic back because no proxy has
     * tried it for a while.
     */
    @Test
    void zoneIsUnreachableAfterFourFailuresWhileItsProbesFail() {
        Settings settings =
                SettingsReader.read(
                        JsonObject.parse(
                                "{\"domain\":{\"mode\":\"aside\"," + "\"origin-kind\":1}}",
                                "settings"));
        FleetLoadCounters counters = new FleetLoadCounters(List.of("a", "b"), settings, 0);
        List<Event.Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            endpoints.add(
                    new Event.Endpoint(
                            new NodeId(i),
                            Event.NodeState.READY,
                            new MachineKind(0),
                            1,
                            0,
                            new CellId(0),
                            new ZoneId(i < 10 ? 0 : 1)));
        }
        counters.endpointListChanged(
                new Event.EndpointListReceived(Event.ListScope.FULL, 1, endpoints));
        for (int i = 0; i < 8; i++) {
            counters.attemptEnded(
                    new NodeId(i), 0, Event.AttemptOutcome.CONNECT_FAILED, 10, 5_000, SECOND + i);
            counters.attemptEnded(
                    new NodeId(10 + i),
                    0,
                    i == 3 ? Event.AttemptOutcome.SUCCESS : Event.AttemptOutcome.CONNECTION_LOST,
                    10,
                    5_000,
                    SECOND + i);
        }
        counters.publish(2 * SECOND);
        assertEquals(
                List.of(), counters.reachability().unreachableNodes(), "one failure per cache");
        assertEquals(
                List.of(Fnv1a.hash("b"), Fnv1a.hash("a")).stream().sorted().toList(),
                counters.reachability().unreachableZones().stream().sorted().toList());
        counters.probeEnded(new NodeId(12), Event.AttemptOutcome.SUCCESS, 2 * SECOND);
        for (int i = 0; i < 8; i++) {
            counters.probeEnded(new NodeId(i), Event.AttemptOutcome.CONNECT_FAILED, 2 * SECOND);
        }
        for (long now = 3 * SECOND; now < 60 * SECOND; now += SECOND / 4) {
            counters.publish(now);
            for (NodeId node : counters.nodesToProbe(now)) {
                counters.probeEnded(node, Event.AttemptOutcome.CONNECT_FAILED, now);
            }
            assertEquals(List.of(Fnv1a.hash("a")), counters.reachability().unreachableZones());
        }
        assertEquals(8, counters.reachability().unreachableNodes().size());
        counters.endpointListChanged(
                new Event.EndpointListReceived(Event.ListScope.FULL, 2, endpoints.subList(10, 20)));
        counters.publish(60 * SECOND);
        assertEquals(
                List.of(),
                counters.reachability().unreachableNodes(),
                "removed nodes are forgotten");
        assertEquals(List.of(), counters.reachability().unreachableZones());
    }

    @Test
    void eachTaskHasOneOwnerAndOnlyTasksOfDeadMembersMove() {
        MembershipView before = members(1, 12, "a").view();
        MembershipView after = members(2, 12, "a").member(1, "a", MemberStatus.DEAD, false).view();
        Map<MemberId, Integer> shares = new TreeMap<>();
        for (long task = 0; task < 600; task++) {
            MemberId owner = TaskAssignment.candidatesInOrder(before, "a", task).get(0);
            shares.merge(owner, 1, Integer::sum);
            if (!owner.name().equals("p1")) {
                assertEquals(owner, TaskAssignment.candidatesInOrder(after, "a", task).get(0));
            }
        }
        assertEquals(12, shares.size());
        shares.forEach(
                (id, share) ->
                        assertTrue(share > 20 && share < 90, id + " owns " + share + " of 600"));
    }

    /**
     * Guards against a cache that is probed more than twice as often as planned because two members
     * each compute that they own its probes.
     */
    @Test
    void differingViewsAtMostDoubleTheProbeRateAndSkipNoNode() {
        List<Long> nodes = LongStream.range(0, 30).boxed().toList();
        MembershipView all = members(1, 8, "a").view();
        MembershipView firstHalf = members(1, 4, "a").view();
        MembershipView secondHalf = members(5, 8, "a").view();
        Map<Long, Integer> probes = new HashMap<>();
        List<TaskAssignment> assignments = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            assignments.add(new TaskAssignment(new MemberId("p" + i), "a", 2 * SECOND));
        }
        for (long now = 0; now < 60 * SECOND; now += SECOND / 2) {
            for (int i = 0; i < 8; i++) {
                boolean split = now > 20 * SECOND && now < 40 * SECOND;
                MembershipView view = !split ? all : i < 4 ? firstHalf : secondHalf;
                assignments
                        .get(i)
                        .dueTasks(view, nodes, now)
                        .forEach(node -> probes.merge(node, 1, Integer::sum));
            }
        }
        for (long node : nodes) {
            int count = probes.getOrDefault(node, 0);
            assertTrue(
                    count >= 20 && count <= 60,
                    count + " probes of node " + node + " in 60 s, 30 expected");
        }
    }

    @Test
    void fewMembersPollDiscoveryUntilOneInTheZoneReceivesTheList() {
        MembershipView withoutList = members(1, 20, "a").view();
        long pollingMembers =
                LongStream.rangeClosed(1, 20)
                        .filter(
                                i ->
                                        new DiscoveryPolling(new MemberId("p" + i), "a")
                                                .mayPoll(withoutList, 2_000))
                        .count();
        assertEquals(3, pollingMembers);
        MembershipView withList =
                members(1, 20, "a").member(21, "a", MemberStatus.ALIVE, true).view();
        MembershipView listInOtherZone =
                members(1, 20, "a").member(21, "b", MemberStatus.ALIVE, true).view();
        int notPolling = 0;
        for (int i = 1; i <= 20; i++) {
            DiscoveryPolling polling = new DiscoveryPolling(new MemberId("p" + i), "a");
            assertTrue(polling.mayPoll(withList, 2_000));
            assertTrue(polling.mayPoll(withoutList, 31_000), "polls after the maximum interval");
            notPolling += polling.mayPoll(listInOtherZone, 2_000) ? 0 : 1;
        }
        assertEquals(17, notPolling, "a list in another zone does not count");
        assertFalse(members.contains(null));
    }
}
