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

/** What must hold of a fleet on a simulated net, whatever breaks; simulated time only. */
class PropagationTest {
    private static final long SECOND = Ticks.SECOND;
    private static final long IN_TIME = 3 * SECOND;
    private static final FleetLayout SMALL = new FleetLayout(120, 12, 3, 3);
    private static final FleetLayout TINY = new FleetLayout(24, 6, 3, 3);
    private static final FleetLayout WHOLE = FleetLayout.of(1_800);
    private static final int DATAGRAM = 1_250;

    private PropagationNet net;

    private void begin(FleetLayout layout, PropagationSettings settings, long seed) {
        net = new PropagationNet(layout, settings, false, seed);
        net.startAll();
        net.advance(5 * SECOND);
    }

    @AfterEach
    void nothingForbiddenHappened() {
        assertEquals(List.of(), net.violations);
        assertTrue(net.largestMessage() <= DATAGRAM, "a message has " + net.largestMessage());
    }

    private SimulatedNode source() {
        return net.controls().get(0);
    }

    private Position publish(String text) {
        return net.publish(source(), text.getBytes(StandardCharsets.UTF_8), true);
    }

    private Position purge() {
        return net.publish(source(), new byte[60], false);
    }

    private Coverage coverage(Position position) {
        return source().publisher().coverage(position);
    }

    private void assertInForceWithin(long span, Position position) {
        assertTrue(net.advanceUntilInForce(position, span) >= 0, () -> "lacking: " + lacking(position));
    }

    private List<MemberId> lacking(Position position) {
        return net.membersWithout(position).stream().map(node -> node.id).toList();
    }

    /** The member with the most children of those that qualify. */
    private SimulatedNode busiest(List<SimulatedNode> among) {
        return among.stream()
                .max(Comparator.comparingInt(SimulatedNode::downstreams))
                .orElseThrow();
    }

    private List<SimulatedNode> ofRegion(String region) {
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
    void aChangeIsInForceAtAllOf1800AndTheSourceKnows() {
        begin(WHOLE, PropagationSettings.CONFIGURATIONS, 1);
        Position first = publish("first");
        assertInForceWithin(IN_TIME, first);
        net.advance(IN_TIME);
        assertEquals(new Coverage(first, 1_800, 1_800, List.of(), List.of()), coverage(first));
        assertTrue(source().downstreams() <= 6 + 11 * RelayTree.CANDIDATES);
    }

    @Test
    void lostDoubledAndOvertakenMessagesOnlyDelay() {
        for (long seed = 1; seed <= 3; seed++) {
            begin(SMALL, PropagationSettings.CONFIGURATIONS, seed);
            net.loss = 0.2;
            net.duplicated = 0.2;
            Position last = Position.NONE;
            for (int i = 0; i < 30; i++) {
                last = publish("version " + i);
                net.advance(SECOND / 4);
            }
            assertInForceWithin(30 * SECOND, last);
            nothingForbiddenHappened();
        }
    }

    @Test
    void purgesComeOnceEachAndInOrderDespiteLoss() {
        begin(SMALL, PropagationSettings.PURGES, 4);
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
    void relaysKilledWithAChangeUnderWayAreReplaced() {
        begin(WHOLE, PropagationSettings.CONFIGURATIONS, 5);
        Position position = publish("under way");
        net.advance(30 * Ticks.MILLISECOND);
        SimulatedNode ofRegion = regionRelay("r3");
        SimulatedNode ofSite = siteRelay("s7");
        assertTrue(ofRegion.downstreams() > 10 && ofSite.downstreams() > 5);
        net.crash(ofRegion);
        net.crash(ofSite);
        assertInForceWithin(IN_TIME, position);
        net.advance(10 * SECOND);
        Coverage coverage = coverage(position);
        assertEquals(1_798, coverage.inForce());
        assertEquals(
                List.of(ofRegion.id, ofSite.id).stream().sorted().toList(),
                coverage.missing().stream().sorted().toList());
    }

    @Test
    void membersComeBackToTheFirstRelayOnceItRunsAgain() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 6);
        SimulatedNode relay = siteRelay("s5");
        int children = relay.downstreams();
        net.crash(relay);
        net.advance(20 * SECOND);
        net.start(relay);
        net.advance(45 * SECOND);
        assertEquals(children, relay.downstreams());
        assertInForceWithin(IN_TIME, publish("after"));
    }

    @Test
    void aRelayFrozenFor20SecondsHoldsUpNobodyElse() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 7);
        SimulatedNode relay = regionRelay("r1");
        net.freeze(relay);
        Position last = Position.NONE;
        for (int i = 0; i < 20; i++) {
            last = publish("version " + i);
            net.advance(SECOND);
            if (i >= 3) {
                assertInForceWithin(IN_TIME, last);
            }
        }
        net.thaw(relay);
        assertInForceWithin(IN_TIME, last);
        assertInForceWithin(IN_TIME, publish("after"));
    }

    @Test
    void noMemberCountsTwiceWhileItChangesItsParent() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 8);
        SimulatedNode dead = net.members().get(119);
        net.crash(dead);
        net.advance(10 * SECOND);
        Position position = publish("at all but one");
        net.advance(IN_TIME);
        net.freeze(siteRelay("s5"));
        net.freeze(regionRelay("r0"));
        for (int i = 0; i < 100; i++) {
            net.advance(SECOND / 10);
            assertFalse(coverage(position).isComplete());
            assertTrue(coverage(position).missing().contains(dead.id));
        }
    }

    @Test
    void aReceiverThatTakesNothingDelaysNoOther() {
        begin(SMALL, PropagationSettings.PURGES, 9);
        SimulatedNode slow = net.members().get(100);
        net.freeze(slow);
        for (int i = 0; i < 100; i++) {
            Position position = purge();
            net.advance(SECOND / 16);
            if (i % 16 == 0) {
                assertInForceWithin(IN_TIME, position);
            }
        }
        net.thaw(slow);
        assertInForceWithin(20 * SECOND, purge());
    }

    @Test
    void aRelayThatIsFullTurnsChildrenAwayAndTheyFindAnother() {
        PropagationSettings few = bounded(PropagationSettings.CONFIGURATIONS, 256, 45);
        begin(SMALL, few, 10);
        SimulatedNode control = net.controls().get(1);
        List<MemberId> onlyControl = List.of(control.id, net.controls().get(2).id);
        for (SimulatedNode member : net.members().subList(0, 60)) {
            member.subscriber().candidates(onlyControl, net.now());
        }
        net.advance(20 * SECOND);
        assertTrue(control.downstreams() <= 45);
        assertInForceWithin(IN_TIME, publish("to all"));
    }

    private static PropagationSettings bounded(
            PropagationSettings like, int logChanges, int children) {
        PropagationSettings.Limits limits = like.limits();
        return new PropagationSettings(
                like.heartbeat(),
                like.reports(),
                like.flow(),
                new PropagationSettings.Limits(
                        limits.messageBytes(),
                        limits.changeBytes(),
                        logChanges,
                        limits.logBytes(),
                        children));
    }

    @Test
    void aRegionCutOffForAnHourCatchesUpInOrderWithinItsBudgetAsFreshPurgesGoOn() {
        begin(TINY, PropagationSettings.PURGES, 11);
        List<String> gaps = watchForGaps();
        ofRegion("r2").forEach(node -> net.setPartition(node, 1));
        int missed = 3_600;
        for (int i = 0; i < missed; i++) {
            purge();
            net.advance(SECOND);
        }
        ofRegion("r2").forEach(node -> net.setPartition(node, 0));
        SimulatedNode behind = net.members().get(2);
        long receivedBefore = behind.bytesReceived();
        Position mended = source().publisher().last();
        long from = net.now();
        Position last = mended;
        while (!net.membersWithout(mended).isEmpty() && net.now() - from < 600 * SECOND) {
            Position fresh = purge();
            net.advance(SECOND);
            assertTrue(
                    net.membersWithout(last).size() <= ofRegion("r2").size(), "others are held up");
            last = fresh;
        }
        assertEquals(List.of(), net.membersWithout(mended));
        double seconds = (net.now() - from) / (double) SECOND;
        long received = behind.bytesReceived() - receivedBefore;
        PropagationSettings budget = PropagationSettings.PURGES;
        double allowed = budget.flow().bytesPerSecond() * seconds + budget.flow().burstBytes();
        assertTrue(received <= allowed + DATAGRAM, received + " bytes in " + seconds + " s");
        assertInForceWithin(60 * SECOND, last);
        assertEquals(List.of(), gaps);
    }

    @Test
    void aRegionCutOffForAnHourNeedsOnlyTheNewestConfiguration() {
        begin(TINY, PropagationSettings.CONFIGURATIONS, 12);
        ofRegion("r2").forEach(node -> net.setPartition(node, 1));
        Position last = Position.NONE;
        for (int i = 0; i < 133; i++) {
            last = publish("version " + i);
            net.advance(27 * SECOND);
        }
        int[] applied = countApplied();
        ofRegion("r2").forEach(node -> net.setPartition(node, 0));
        assertInForceWithin(15 * SECOND, last);
        assertEquals(ofRegion("r2").size(), applied[0]);
        assertInForceWithin(IN_TIME, publish("after"));
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
    void whoLacksMoreThanAnyLogKeepsIsHelpedByASupersedingChange() {
        begin(SMALL, bounded(PropagationSettings.PURGES, 50, 300), 13);
        ofRegion("r2").forEach(node -> net.setPartition(node, 1));
        Position last = Position.NONE;
        for (int i = 0; i < 200; i++) {
            last = purge();
            net.advance(SECOND / 4);
        }
        ofRegion("r2").forEach(node -> net.setPartition(node, 0));
        net.advance(30 * SECOND);
        assertTrue(source().publisher().logTooShortRejections() > 0);
        assertEquals(ofRegion("r2").size(), net.membersWithout(last).size());
        Position whole = net.publish(source(), new byte[100], true);
        assertInForceWithin(60 * SECOND, whole);
        assertInForceWithin(10 * SECOND, purge());
    }

    @Test
    void restartsOf280AndThenOfAllAtOnce() {
        begin(WHOLE, PropagationSettings.CONFIGURATIONS, 14);
        Position before = publish("before");
        assertInForceWithin(IN_TIME, before);
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
        assertInForceWithin(IN_TIME, publish("after"));
    }

    @Test
    void aSourceThatComesBackWithAnOlderVersionStopsAndNobodyGoesBack() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 15);
        for (int i = 0; i < 5; i++) {
            publish("version " + i);
            net.advance(SECOND);
        }
        Position newest = source().publisher().last();
        net.crash(source());
        net.start(source());
        RetainedLog forgotten = new RetainedLog(PropagationSettings.CONFIGURATIONS);
        net.startPublisher(source(), 1, forgotten);
        net.publish(source(), "an older one".getBytes(StandardCharsets.UTF_8), true);
        net.advance(10 * SECOND);
        assertEquals(List.of(), net.membersWithout(newest));
        assertTrue(source().publisher() == null, "it has stopped");
        SimulatedNode second = net.controls().get(1);
        net.startPublisher(second, 2);
        Position fresh =
                net.publish(second, "of a new epoch".getBytes(StandardCharsets.UTF_8), true);
        assertEquals(new Position(2, 6), fresh);
        assertInForceWithin(15 * SECOND, fresh);
    }

    @Test
    void aSourceThatIsBehindRefusesToPublish() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 16);
        List<Message> sent = new ArrayList<>();
        Publisher lone =
                new Publisher(
                        3,
                        new RetainedLog(PropagationSettings.CONFIGURATIONS),
                        List.of(),
                        List.of(),
                        PropagationSettings.CONFIGURATIONS,
                        (to, message) -> sent.add(message),
                        0);
        MemberId member = new MemberId("m");
        lone.handle(
                member,
                new Message.Report(
                        3, 1, 1, new Position(3, 9), Position.NONE, List.of(), List.of()),
                1);
        assertEquals(Publisher.State.BEHIND, lone.state());
        assertThrows(NotActiveException.class, () -> lone.publish(new byte[1], true, 2));
    }

    @Test
    void ofTwoSourcesTheOneOfTheHigherEpochWinsEverywhere() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 17);
        Position old = publish("by the first");
        assertInForceWithin(IN_TIME, old);
        SimulatedNode first = source();
        SimulatedNode second = net.controls().get(1);
        net.setPartition(second, 1);
        ofRegion("r1").forEach(node -> net.setPartition(node, 1));
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
        ofRegion("r1").forEach(node -> net.setPartition(node, 0));
        assertInForceWithin(20 * SECOND, newest);
        assertTrue(first.publisher() == null, "the first has stepped down");
        Position after = net.publish(second, "after".getBytes(StandardCharsets.UTF_8), true);
        assertInForceWithin(IN_TIME, after);
        for (SimulatedNode member : net.members()) {
            assertArrayEquals(
                    "after".getBytes(StandardCharsets.UTF_8), member.body().orElseThrow());
        }
    }

    @Test
    void aMemberThatTurnsAVersionDownStaysOnItsLastGoodOneAndTheSourceSeesWhy() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 18);
        net.loss = 0.05;
        Position good = publish("good");
        assertInForceWithin(IN_TIME, good);
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
        assertInForceWithin(IN_TIME, publish("better"));
    }

    @Test
    void aChangeOfTwiceADatagramAndOneOf40KilobytesArriveWhole() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 19);
        net.loss = 0.05;
        for (int size : List.of(2_400, 40_000)) {
            byte[] body = new byte[size];
            for (int i = 0; i < size; i++) {
                body[i] = (byte) (i * 31 + size);
            }
            Position position = net.publish(source(), body, true);
            assertInForceWithin(120 * SECOND, position);
            for (SimulatedNode member : net.members()) {
                assertArrayEquals(body, member.body().orElseThrow());
            }
        }
    }

    @Test
    void clocksThatAreSetDoNotMatter() {
        begin(SMALL, PropagationSettings.CONFIGURATIONS, 20);
        long hour = 3_600 * SECOND;
        net.shiftClock(regionRelay("r0"), hour);
        net.shiftClock(regionRelay("r1"), -hour);
        net.shiftClock(siteRelay("s4"), -hour);
        net.shiftClock(net.members().get(77), hour);
        net.shiftClock(source(), -hour);
        net.shiftClock(net.controls().get(1), hour);
        Position position = publish("with wrong clocks");
        assertInForceWithin(IN_TIME, position);
        net.advance(20 * SECOND);
        assertTrue(coverage(position).isComplete());
        assertInForceWithin(IN_TIME, publish("after"));
    }

    @Test
    void noRelayServesMoreThanTheSitesOfARegionAndItsOwn() {
        begin(WHOLE, PropagationSettings.CONFIGURATIONS, 21);
        assertTrue(busiest(net.members()).downstreams() <= 13 + 13 + RelayTree.CANDIDATES);
    }
}
