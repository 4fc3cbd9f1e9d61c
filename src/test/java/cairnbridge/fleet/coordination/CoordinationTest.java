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

/** What the view is used for: one story for each way in which it could do harm. */
class CoordinationTest {
    private static final long SECOND = 10_000;
    private final List<MemberState> members = new ArrayList<>();

    private CoordinationTest member(
            int number, String zone, MemberStatus standing, boolean listing, Long... unreachable) {
        MemberMetadata told =
                MemberMetadata.builder()
                        .location(zone, "r")
                        .protocolVersion(2)
                        .metrics(
                                new MemberMetrics(
                                        new MemberMetrics.Load(0, 0, 0),
                                        new MemberMetrics.EndpointListStatus(0, listing),
                                        new MemberMetrics.Reachability(
                                                List.of(unreachable), List.of(), List.of())))
                        .build();
        members.add(
                new MemberState(
                        new MemberId("p" + number),
                        new Endpoint("10.0.0.1", 1000 + number),
                        new Incarnation(1, 0),
                        standing,
                        null,
                        1,
                        told));
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

    private static int lastCount(LiveProxyCount count, MembershipView view, long from, int seconds) {
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
                "a fleet that has grown beyond its size");
        MembershipView fewer = members(1, 12, "a").view();
        int soon = lastCount(count, fewer, 8 * SECOND, 1);
        assertTrue(soon > 25, soon + " a second after the deaths");
        assertEquals(12, lastCount(count, fewer, 9 * SECOND, 40));
    }

    /** Guards against two halves that each take all. */
    @Test
    void minorityPartitionCountsAtLeastHalfTheConfiguredProxies() {
        LiveProxyCount count = new LiveProxyCount(20, 0);
        assertEquals(10, lastCount(count, members(1, 2, "a").view(), 0, 60));
    }

    @Test
    void nodeUnreachableForMostOfAZoneIsReportedOnce() {
        NodeSuspicions hints = new NodeSuspicions("a");
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
                hints.newSuspicions(view),
                "8 is said by one, and by dead ones; 9 by another zone");
        assertEquals(List.of(), hints.newSuspicions(view));
        assertEquals(List.of(), hints.newSuspicions(members(1, 4, "a").view()));
        assertEquals(List.of(7L), hints.newSuspicions(view), "it has been within reach meanwhile");
    }

    @Test
    void twoMembersAreTooFewToSuspectANode() {
        NodeSuspicions hints = new NodeSuspicions("a");
        member(1, "a", MemberStatus.ALIVE, false, 7L).member(2, "a", MemberStatus.ALIVE, false, 7L);
        assertEquals(List.of(), hints.newSuspicions(view()));
    }

    @Test
    void nodeIsUnreachableAfterTwoFailuresUntilASuccessOrExpiry() {
        ReachabilityReport reach = new ReachabilityReport(2);
        reach.record(1, false, 0);
        reach.record(2, false, 0);
        reach.record(2, false, 10);
        assertEquals(List.of(2L), reach.unreachable(20));
        reach.record(2, true, 30);
        reach.record(1, false, 40);
        assertEquals(List.of(1L), reach.unreachable(50));
        assertEquals(List.of(), reach.unreachable(50 + 11 * SECOND));
        for (long node = 0; node < 100; node++) {
            reach.record(node, false, 60);
            reach.record(node, false, 61 + node);
        }
        assertEquals(100, reach.unreachable(200).size());
        MemberMetadata told =
                MemberMetadata.builder()
                        .location("a", "r")
                        .protocolVersion(2)
                        .metrics(
                                new MemberMetrics(
                                        new MemberMetrics.Load(0, 0, 0),
                                        new MemberMetrics.EndpointListStatus(0, true),
                                        new MemberMetrics.Reachability(
                                                reach.unreachable(200), List.of(), List.of())))
                        .build();
        assertEquals(
                MemberMetadata.MAX_UNREACHABLE_NODES,
                told.metrics().reachability().unreachableNodes().size(),
                "as many as are told");
    }

    /**
     * Guards against a lost zone of many caches, of which a proxy meets each too seldom to find it
     * out, and against one that is given its traffic back because nobody has tried it for a while.
     */
    @Test
    void zoneIsUnreachableAfterFourFailuresWhileItsProbesFail() {
        Settings settings =
                SettingsReader.read(
                        JsonObject.parse(
                                "{\"domain\":{\"mode\":\"aside\"," + "\"origin-kind\":1}}",
                                "settings"));
        FleetLoadCounters tally = new FleetLoadCounters(List.of("a", "b"), settings, 0);
        List<Event.Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            entries.add(
                    new Event.Endpoint(
                            new NodeId(i),
                            Event.NodeState.READY,
                            new MachineKind(0),
                            1,
                            0,
                            new CellId(0),
                            new ZoneId(i < 10 ? 0 : 1)));
        }
        tally.endpointListChanged(new Event.EndpointListReceived(Event.ListScope.FULL, 1, entries));
        for (int i = 0; i < 8; i++) {
            tally.attemptEnded(
                    new NodeId(i), 0, Event.AttemptOutcome.CONNECT_FAILED, 10, 5_000, SECOND + i);
            tally.attemptEnded(
                    new NodeId(10 + i),
                    0,
                    i == 3 ? Event.AttemptOutcome.SUCCESS : Event.AttemptOutcome.CONNECTION_LOST,
                    10,
                    5_000,
                    SECOND + i);
        }
        tally.publish(2 * SECOND);
        assertEquals(List.of(), tally.reachability().unreachableNodes(), "each cache was met once");
        assertEquals(
                List.of(Fnv1a.hash("b"), Fnv1a.hash("a")).stream().sorted().toList(),
                tally.reachability().unreachableZones().stream().sorted().toList());
        tally.probeEnded(new NodeId(12), Event.AttemptOutcome.SUCCESS, 2 * SECOND);
        for (int i = 0; i < 8; i++) {
            tally.probeEnded(new NodeId(i), Event.AttemptOutcome.CONNECT_FAILED, 2 * SECOND);
        }
        for (long now = 3 * SECOND; now < 60 * SECOND; now += SECOND / 4) {
            tally.publish(now);
            for (NodeId node : tally.nodesToProbe(now)) {
                tally.probeEnded(node, Event.AttemptOutcome.CONNECT_FAILED, now);
            }
            assertEquals(List.of(Fnv1a.hash("a")), tally.reachability().unreachableZones());
        }
        assertEquals(8, tally.reachability().unreachableNodes().size());
        tally.endpointListChanged(
                new Event.EndpointListReceived(Event.ListScope.FULL, 2, entries.subList(10, 20)));
        tally.publish(60 * SECOND);
        assertEquals(
                List.of(),
                tally.reachability().unreachableNodes(),
                "who is gone is not asked for ever");
        assertEquals(List.of(), tally.reachability().unreachableZones());
    }

    @Test
    void eachTaskHasOneOwnerAndOnlyTasksOfDeadMembersMove() {
        MembershipView before = members(1, 12, "a").view();
        MembershipView after = members(2, 12, "a").member(1, "a", MemberStatus.DEAD, false).view();
        Map<MemberId, Integer> shares = new TreeMap<>();
        for (long duty = 0; duty < 600; duty++) {
            MemberId owner = TaskAssignment.candidatesInOrder(before, "a", duty).get(0);
            shares.merge(owner, 1, Integer::sum);
            if (!owner.name().equals("p1")) {
                assertEquals(owner, TaskAssignment.candidatesInOrder(after, "a", duty).get(0));
            }
        }
        assertEquals(12, shares.size());
        shares.forEach(
                (id, share) ->
                        assertTrue(share > 20 && share < 90, id + " has " + share + " of 600"));
    }

    /**
     * Guards against a cache probed by two that each believe it is their duty, more than twice as
     * often as planned.
     */
    @Test
    void differingViewsAtMostDoubleTheProbeRateAndSkipNoNode() {
        List<Long> nodes = LongStream.range(0, 30).boxed().toList();
        MembershipView all = members(1, 8, "a").view();
        MembershipView cut = members(1, 4, "a").view();
        MembershipView cutOff = members(5, 8, "a").view();
        Map<Long, Integer> probes = new HashMap<>();
        List<TaskAssignment> duties = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            duties.add(new TaskAssignment(new MemberId("p" + i), "a", 2 * SECOND));
        }
        for (long now = 0; now < 60 * SECOND; now += SECOND / 2) {
            for (int i = 0; i < 8; i++) {
                boolean split = now > 20 * SECOND && now < 40 * SECOND;
                MembershipView held = !split ? all : i < 4 ? cut : cutOff;
                duties.get(i)
                        .dueTasks(held, nodes, now)
                        .forEach(node -> probes.merge(node, 1, Integer::sum));
            }
        }
        for (long node : nodes) {
            int count = probes.getOrDefault(node, 0);
            assertTrue(
                    count >= 20 && count <= 60,
                    count + " probes of node " + node + " in 60 s, 30 are planned");
        }
    }

    @Test
    void fewMembersPollDiscoveryUntilOneInTheZoneReceivesTheList() {
        MembershipView away = members(1, 20, "a").view();
        long callers =
                LongStream.rangeClosed(1, 20)
                        .filter(
                                i ->
                                        new DiscoveryPolling(new MemberId("p" + i), "a")
                                                .mayPoll(away, 2_000))
                        .count();
        assertEquals(3, callers);
        MembershipView back = members(1, 20, "a").member(21, "a", MemberStatus.ALIVE, true).view();
        MembershipView elsewhere =
                members(1, 20, "a").member(21, "b", MemberStatus.ALIVE, true).view();
        int quiet = 0;
        for (int i = 1; i <= 20; i++) {
            DiscoveryPolling calls = new DiscoveryPolling(new MemberId("p" + i), "a");
            assertTrue(calls.mayPoll(back, 2_000));
            assertTrue(calls.mayPoll(away, 31_000), "nobody waits for ever");
            quiet += calls.mayPoll(elsewhere, 2_000) ? 0 : 1;
        }
        assertEquals(17, quiet, "another zone's agent says nothing of this one's");
        assertFalse(members.contains(null));
    }
}
