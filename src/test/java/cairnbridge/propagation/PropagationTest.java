package cairnbridge.propagation;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.propagation.simulated.FleetLayout;
import cairnbridge.propagation.simulated.PropagationNet;
import cairnbridge.propagation.simulated.PropagationObserver;
import cairnbridge.propagation.simulated.SimulatedNode;
import cairnbridge.time.Ticks;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Checks that changes reach a simulated fleet in time and in order despite faults; uses simulated
 * time only.
 */
class PropagationTest {
    private static final long SECOND = Ticks.SECOND;
    private static final long DEADLINE = 3 * SECOND;
    private static final FleetLayout SMALL = new FleetLayout(120, 12, 3, 3);
    private static final FleetLayout TINY = new FleetLayout(24, 6, 3, 3);
    private static final FleetLayout LARGE = FleetLayout.of(1_800);
    private static final int MAX_DATAGRAM_BYTES = 1_250;

    private PropagationNet net;

    private void start(FleetLayout layout, PropagationSettings settings, long seed) {
        net = new PropagationNet(layout, settings, false, seed);
        net.startAll();
        net.advance(5 * SECOND);
    }

    @AfterEach
    void assertNoViolations() {
        assertEquals(List.of(), net.violations);
        assertTrue(
                net.largestMessage() <= MAX_DATAGRAM_BYTES,
                "size of the largest message: " + net.largestMessage());
    }

    private SimulatedNode publisherNode() {
        return net.controls().get(0);
    }

    private Position publish(String text) {
        return net.publish(publisherNode(), text.getBytes(StandardCharsets.UTF_8), true);
    }

    private Position purge() {
        return net.publish(publisherNode(), new byte[60], false);
    }

    private Coverage coverage(Position position) {
        return publisherNode().publisher().coverage(position);
    }

    private void assertInForceWithin(long span, Position position) {
        assertTrue(
                net.advanceUntilInForce(position, span) >= 0,
                () -> "not in force at " + membersWithout(position));
    }

    private List<MemberId> membersWithout(Position position) {
        return net.membersWithout(position).stream().map(node -> node.id).toList();
    }

    /** Returns the node with the most downstreams. */
    private SimulatedNode busiest(List<SimulatedNode> nodes) {
        return nodes.stream()
                .max(Comparator.comparingInt(SimulatedNode::downstreams))
                .orElseThrow();
    }

    private List<SimulatedNode> membersOfRegion(String region) {
        return net.members().stream()
                .filter(node -> node.location.get().region().equals(region))
                .toList();
    }

    private SimulatedNode regionRelay(String region) {
        return net.node(net.tree().relaysOfRegion(region).get(0));
    }

    private SimulatedNode siteRelay(String site) {
        return net.node(net.tree().relaysOfSite(site).get(0));
    }

    @Test
    void aChangeComesIntoForceAt1800MembersAndThePublisherConfirmsIt() {
        start(LARGE, PropagationSettings.CONFIGURATIONS, 1);
        Position first = publish("first");
        assertInForceWithin(DEADLINE, first);
        net.advance(DEADLINE);
        assertEquals(new Coverage(first, 1_800, 1_800, List.of(), List.of()), coverage(first));
        assertTrue(publisherNode().downstreams() <= 6 + 11 * RelayTree.CANDIDATES);
    }

    @Test
    void lostDuplicatedAndReorderedMessagesOnlyDelayChanges() {
        for (long seed = 1; seed <= 3; seed++) {
            start(SMALL, PropagationSettings.CONFIGURATIONS, seed);
            net.loss = 0.2;
            net.duplicated = 0.2;
            Position last = Position.NONE;
            for (int i = 0; i < 30; i++) {
                last = publish("version " + i);
                net.advance(SECOND / 4);
            }
            assertInForceWithin(30 * SECOND, last);
            assertNoViolations();
        }
    }

    @Test
    void purgesAreAppliedOnceInOrderDespiteLoss() {
        start(SMALL, PropagationSettings.PURGES, 4);
        net.loss = 0.1;
        net.duplicated = 0.1;
        List<String> gaps = watchForGaps();
        Position last = Position.NONE;
        for (int i = 0; i < 320; i++) {
            last = purge();
            net.advance(SECOND / 16);
        }
        assertInForceWithin(30 * SECOND, last);
        assertEquals(List.of(), gaps);
    }

    private List<String> watchForGaps() {
        List<String> gaps = new ArrayList<>();
        net.observer =
                new PropagationObserver() {
                    @Override
                    public void onApplied(SimulatedNode node, Position before, Position after) {
                        if (after.version() != before.version() + 1) {
                            gaps.add(node.id + " went from " + before + " to " + after);
                        }
                    }

                    @Override
                    public void onReported(SimulatedNode node) {}
                };
        return gaps;
    }

    @Test
    void relaysKilledDuringPropagationAreReplaced() {
        start(LARGE, PropagationSettings.CONFIGURATIONS, 5);
        Position position = publish("under way");
        net.advance(30 * Ticks.MILLISECOND);
        SimulatedNode regionRelay = regionRelay("r3");
        SimulatedNode siteRelay = siteRelay("s7");
        assertTrue(regionRelay.downstreams() > 10 && siteRelay.downstreams() > 5);
        net.crash(regionRelay);
        net.crash(siteRelay);
        assertInForceWithin(DEADLINE, position);
        net.advance(10 * SECOND);
        Coverage coverage = coverage(position);
        assertEquals(1_798, coverage.inForce());
        assertEquals(
                List.of(regionRelay.id, siteRelay.id).stream().sorted().toList(),
                coverage.missing().stream().sorted().toList());
    }

    @Test
    void membersReturnToThePreferredRelayAfterItsRestart() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 6);
        SimulatedNode relay = siteRelay("s5");
        int downstreams = relay.downstreams();
        net.crash(relay);
        net.advance(20 * SECOND);
        net.start(relay);
        net.advance(45 * SECOND);
        assertEquals(downstreams, relay.downstreams());
        assertInForceWithin(DEADLINE, publish("after"));
    }

    @Test
    void aRelayFrozenFor20SecondsDelaysNoOtherMember() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 7);
        SimulatedNode relay = regionRelay("r1");
        net.freeze(relay);
        Position last = Position.NONE;
        for (int i = 0; i < 20; i++) {
            last = publish("version " + i);
            net.advance(SECOND);
            if (i >= 3) {
                assertInForceWithin(DEADLINE, last);
            }
        }
        net.thaw(relay);
        assertInForceWithin(DEADLINE, last);
        assertInForceWithin(DEADLINE, publish("after"));
    }

    @Test
    void aMemberThatChangesItsParentIsNotCountedTwice() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 8);
        SimulatedNode dead = net.members().get(119);
        net.crash(dead);
        net.advance(10 * SECOND);
        Position position = publish("at all but one");
        net.advance(DEADLINE);
        net.freeze(siteRelay("s5"));
        net.freeze(regionRelay("r0"));
        for (int i = 0; i < 100; i++) {
            net.advance(SECOND / 10);
            assertFalse(coverage(position).isComplete());
            assertTrue(coverage(position).missing().contains(dead.id));
        }
    }

    @Test
    void aFrozenMemberDelaysNoOther() {
        start(SMALL, PropagationSettings.PURGES, 9);
        SimulatedNode frozen = net.members().get(100);
        net.freeze(frozen);
        for (int i = 0; i < 100; i++) {
            Position position = purge();
            net.advance(SECOND / 16);
            if (i % 16 == 0) {
                assertInForceWithin(DEADLINE, position);
            }
        }
        net.thaw(frozen);
        assertInForceWithin(20 * SECOND, purge());
    }

    @Test
    void membersRejectedByAFullParentSubscribeElsewhere() {
        PropagationSettings settings = bounded(PropagationSettings.CONFIGURATIONS, 256, 45);
        start(SMALL, settings, 10);
        SimulatedNode control = net.controls().get(1);
        List<MemberId> onlyControl = List.of(control.id, net.controls().get(2).id);
        for (SimulatedNode member : net.members().subList(0, 60)) {
            member.subscriber().candidates(onlyControl, net.now());
        }
        net.advance(20 * SECOND);
        assertTrue(control.downstreams() <= 45);
        assertInForceWithin(DEADLINE, publish("to all"));
    }

    private static PropagationSettings bounded(
            PropagationSettings base, int logChanges, int downstreams) {
        PropagationSettings.Limits limits = base.limits();
        return new PropagationSettings(
                base.heartbeat(),
                base.reports(),
                base.flow(),
                new PropagationSettings.Limits(
                        limits.messageBytes(),
                        limits.changeBytes(),
                        logChanges,
                        limits.logBytes(),
                        downstreams));
    }

    @Test
    void aRegionCutOffForAnHourCatchesUpInOrderWithinItsBudgetDuringNewPurges() {
        start(TINY, PropagationSettings.PURGES, 11);
        List<String> gaps = watchForGaps();
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 1));
        int missedChanges = 3_600;
        for (int i = 0; i < missedChanges; i++) {
            purge();
            net.advance(SECOND);
        }
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 0));
        SimulatedNode behind = net.members().get(2);
        long receivedBefore = behind.bytesReceived();
        Position missedPosition = publisherNode().publisher().last();
        long from = net.now();
        Position last = missedPosition;
        while (!net.membersWithout(missedPosition).isEmpty() && net.now() - from < 600 * SECOND) {
            Position newPosition = purge();
            net.advance(SECOND);
            assertTrue(
                    net.membersWithout(last).size() <= membersOfRegion("r2").size(),
                    "members of other regions are delayed");
            last = newPosition;
        }
        assertEquals(List.of(), net.membersWithout(missedPosition));
        double seconds = (net.now() - from) / (double) SECOND;
        long received = behind.bytesReceived() - receivedBefore;
        PropagationSettings budget = PropagationSettings.PURGES;
        double allowed = budget.flow().bytesPerSecond() * seconds + budget.flow().burstBytes();
        assertTrue(
                received <= allowed + MAX_DATAGRAM_BYTES, received + " bytes in " + seconds + " s");
        assertInForceWithin(60 * SECOND, last);
        assertEquals(List.of(), gaps);
    }

    @Test
    void aRegionCutOffForAnHourReceivesOnlyTheNewestConfiguration() {
        start(TINY, PropagationSettings.CONFIGURATIONS, 12);
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 1));
        Position last = Position.NONE;
        for (int i = 0; i < 133; i++) {
            last = publish("version " + i);
            net.advance(27 * SECOND);
        }
        int[] applied = countApplied();
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 0));
        assertInForceWithin(15 * SECOND, last);
        assertEquals(membersOfRegion("r2").size(), applied[0]);
        assertInForceWithin(DEADLINE, publish("after"));
    }

    private int[] countApplied() {
        int[] applied = new int[1];
        net.observer =
                new PropagationObserver() {
                    @Override
                    public void onApplied(SimulatedNode node, Position before, Position after) {
                        applied[0]++;
                    }

                    @Override
                    public void onReported(SimulatedNode node) {}
                };
        return applied;
    }

    @Test
    void membersBehindTheLogRecoverWithASupersedingChange() {
        start(SMALL, bounded(PropagationSettings.PURGES, 50, 300), 13);
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 1));
        Position last = Position.NONE;
        for (int i = 0; i < 200; i++) {
            last = purge();
            net.advance(SECOND / 4);
        }
        membersOfRegion("r2").forEach(node -> net.setPartition(node, 0));
        net.advance(30 * SECOND);
        assertTrue(publisherNode().publisher().logTooShortRejections() > 0);
        assertEquals(membersOfRegion("r2").size(), net.membersWithout(last).size());
        Position whole = net.publish(publisherNode(), new byte[100], true);
        assertInForceWithin(60 * SECOND, whole);
        assertInForceWithin(10 * SECOND, purge());
    }

    @Test
    void changesComeIntoForceAfterRestartsOf280AndOfAllMembers() {
        start(LARGE, PropagationSettings.CONFIGURATIONS, 14);
        Position before = publish("before");
        assertInForceWithin(DEADLINE, before);
        Position during = publish("during");
        List<SimulatedNode> some = net.members().subList(500, 780);
        some.forEach(net::crash);
        net.advance(SECOND / 2);
        some.forEach(net::startEmpty);
        assertInForceWithin(10 * SECOND, during);
        net.members().forEach(net::crash);
        net.advance(SECOND / 2);
        net.members().forEach(net::startEmpty);
        assertInForceWithin(10 * SECOND, during);
        assertInForceWithin(DEADLINE, publish("after"));
    }

    @Test
    void aPublisherRestartedWithAnOlderLogStopsAndNoMemberRegresses() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 15);
        for (int i = 0; i < 5; i++) {
            publish("version " + i);
            net.advance(SECOND);
        }
        Position newest = publisherNode().publisher().last();
        net.crash(publisherNode());
        net.start(publisherNode());
        RetainedLog emptyLog = new RetainedLog(PropagationSettings.CONFIGURATIONS);
        net.startPublisher(publisherNode(), 1, emptyLog);
        net.publish(publisherNode(), "an older one".getBytes(StandardCharsets.UTF_8), true);
        net.advance(10 * SECOND);
        assertEquals(List.of(), net.membersWithout(newest));
        assertTrue(publisherNode().publisher() == null, "the outdated publisher has stepped down");
        SimulatedNode second = net.controls().get(1);
        net.startPublisher(second, 2);
        Position newPosition =
                net.publish(second, "of a new epoch".getBytes(StandardCharsets.UTF_8), true);
        assertEquals(new Position(2, 6), newPosition);
        assertInForceWithin(15 * SECOND, newPosition);
    }

    @Test
    void aPublisherThatIsBehindRefusesToPublish() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 16);
        List<Message> sent = new ArrayList<>();
        Publisher publisher =
                new Publisher(
                        3,
                        new RetainedLog(PropagationSettings.CONFIGURATIONS),
                        List.of(),
                        List.of(),
                        PropagationSettings.CONFIGURATIONS,
                        (to, message) -> sent.add(message),
                        0);
        MemberId member = new MemberId("m");
        publisher.handle(
                member,
                new Message.Report(
                        3, 1, 1, new Position(3, 9), Position.NONE, List.of(), List.of()),
                1);
        assertEquals(Publisher.State.BEHIND, publisher.state());
        assertThrows(NotActiveException.class, () -> publisher.publish(new byte[1], true, 2));
    }

    @Test
    void ofTwoPublishersTheOneWithTheHigherEpochPrevails() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 17);
        Position old = publish("by the first");
        assertInForceWithin(DEADLINE, old);
        SimulatedNode first = publisherNode();
        SimulatedNode second = net.controls().get(1);
        net.setPartition(second, 1);
        membersOfRegion("r1").forEach(node -> net.setPartition(node, 1));
        net.advance(SECOND);
        net.startPublisher(second, 2);
        for (int i = 0; i < 3; i++) {
            net.publish(first, ("first, " + i).getBytes(StandardCharsets.UTF_8), true);
            net.publish(second, ("second, " + i).getBytes(StandardCharsets.UTF_8), true);
            net.advance(SECOND);
        }
        Position newest = second.publisher().last();
        assertTrue(newest.epoch() == 2 && net.membersWithout(newest).size() == 80);
        net.setPartition(second, 0);
        membersOfRegion("r1").forEach(node -> net.setPartition(node, 0));
        assertInForceWithin(20 * SECOND, newest);
        assertTrue(first.publisher() == null, "the publisher of the lower epoch has stepped down");
        Position after = net.publish(second, "after".getBytes(StandardCharsets.UTF_8), true);
        assertInForceWithin(DEADLINE, after);
        for (SimulatedNode member : net.members()) {
            assertArrayEquals(
                    "after".getBytes(StandardCharsets.UTF_8), member.body().orElseThrow());
        }
    }

    @Test
    void aMemberThatRejectsAVersionKeepsThePreviousAndThePublisherSeesTheReason() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 18);
        net.loss = 0.05;
        Position good = publish("good");
        assertInForceWithin(DEADLINE, good);
        SimulatedNode member = net.members().get(50);
        SimulatedNode relay = siteRelay("s3");
        for (SimulatedNode each : List.of(member, relay)) {
            each.rejectionReason =
                    change ->
                            Arrays.equals(change.body(), "bad".getBytes(StandardCharsets.UTF_8))
                                    ? Optional.of("an unknown key")
                                    : Optional.empty();
        }
        Position bad = publish("bad");
        net.advance(5 * SECOND);
        assertEquals(good, member.inForce());
        assertEquals(good, relay.inForce());
        Coverage coverage = coverage(bad);
        assertEquals(118, coverage.inForce());
        assertEquals(
                List.of(member.id, relay.id).stream().sorted().toList(),
                coverage.rejections().stream().map(Rejection::member).sorted().toList());
        assertEquals("an unknown key", coverage.rejections().get(0).reason());
        assertInForceWithin(DEADLINE, publish("better"));
    }

    @Test
    void changesOf2400And40000BytesArriveComplete() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 19);
        net.loss = 0.05;
        for (int size : List.of(2_400, 40_000)) {
            byte[] body = new byte[size];
            for (int i = 0; i < size; i++) {
                body[i] = (byte) (i * 31 + size);
            }
            Position position = net.publish(publisherNode(), body, true);
            assertInForceWithin(120 * SECOND, position);
            for (SimulatedNode member : net.members()) {
                assertArrayEquals(body, member.body().orElseThrow());
            }
        }
    }

    @Test
    void clockChangesDoNotAffectPropagation() {
        start(SMALL, PropagationSettings.CONFIGURATIONS, 20);
        long hour = 3_600 * SECOND;
        net.shiftClock(regionRelay("r0"), hour);
        net.shiftClock(regionRelay("r1"), -hour);
        net.shiftClock(siteRelay("s4"), -hour);
        net.shiftClock(net.members().get(77), hour);
        net.shiftClock(publisherNode(), -hour);
        net.shiftClock(net.controls().get(1), hour);
        Position position = publish("with wrong clocks");
        assertInForceWithin(DEADLINE, position);
        net.advance(20 * SECOND);
        assertTrue(coverage(position).isComplete());
        assertInForceWithin(DEADLINE, publish("after"));
    }

    @Test
    void noRelayServesMoreThanTheSitesOfItsRegionAndItsOwnSite() {
        start(LARGE, PropagationSettings.CONFIGURATIONS, 21);
        assertTrue(busiest(net.members()).downstreams() <= 13 + 13 + RelayTree.CANDIDATES);
    }
}
