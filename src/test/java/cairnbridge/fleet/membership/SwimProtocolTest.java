package cairnbridge.fleet.membership;

import static cairnbridge.drill.simulated.SimulatedNet.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.drill.simulated.SimulatedNet;
import cairnbridge.drill.simulated.SimulatedNet.Node;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** One short story for each failure that the view must outlive, on a simulated net. */
class SwimProtocolTest {
    private static final long STEP = SECOND / 20;
    private final SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, 7);

    /** Deaths of members that ran and were not frozen, as any view held them. */
    private final List<String> falseDeaths = new ArrayList<>();

    private List<Node> startFleet(int size) {
        Node first = net.add("p0");
        for (int i = 1; i < size; i++) {
            net.add("p" + i, first);
        }
        awaitAgreement(10);
        net.watcher =
                (holder, before, after, why) -> {
                    if (after != null
                            && after.status() == MemberStatus.DEAD
                            && (before == null || before.status().isLive())
                            && net.running().stream()
                                    .anyMatch(
                                            node ->
                                                    node.id.equals(after.id())
                                                            && node.side == holder.side)) {
                        falseDeaths.add(holder.id + " held " + after.id() + " dead: " + why);
                    }
                };
        return net.nodes();
    }

    private long awaitAgreement(int seconds) {
        long took = net.untilAgreed(seconds * SECOND, STEP);
        assertTrue(took >= 0, "after " + seconds + " s " + net.disagreement());
        return took;
    }

    @Test
    void membersAgreeAfterTheirOnlySeedCrashes() {
        Node seed = net.add("seed");
        for (int i = 0; i < 12; i++) {
            net.add("p" + i, seed);
        }
        net.pass(SECOND);
        net.crash(seed);
        assertTrue(awaitAgreement(5) > 0);
    }

    /**
     * Guards against a fleet that starts at once, each with its first call answered before the rest
     * was there.
     */
    @Test
    void twoHundredSimultaneousStartsAgreeWithinSevenSeconds() {
        Node seed = net.add("seed");
        for (int i = 0; i < 200; i++) {
            net.add("p" + i, seed);
        }
        assertTrue(awaitAgreement(7) > 0);
    }

    /**
     * Guards against parts of a fleet that starts at once, each joined through one that knew
     * nobody: they found each other only when the seeds that were missed were asked, after five
     * seconds and more.
     */
    @Test
    void twoSeparatelyJoinedPairsMergeWithinTwoSeconds() {
        Node[] seeds = {net.add("p1"), net.add("p2"), net.add("p3"), net.add("p4")};
        List.of(seeds).forEach(net::crash);
        net.pass(SECOND);
        // By its life the first asks the second, the third the last.
        long[] lives = {3_000, 3_003, 3_002, 3_005};
        for (int i = 0; i < seeds.length; i++) {
            net.start(seeds[i], lives[i], seeds);
        }
        net.pass(SECOND / 10);
        assertEquals(2, seeds[0].machine.liveCount(), "two pairs");
        assertEquals(2, seeds[3].machine.liveCount(), "two pairs");
        assertTrue(awaitAgreement(2) > 0);
    }

    @Test
    void simultaneousCrashOfAThirdIsDetectedWithinFiveSeconds() {
        List<Node> nodes = startFleet(48);
        nodes.subList(0, 16).forEach(net::crash);
        awaitAgreement(5);
        assertEquals(List.of(), falseDeaths);
    }

    @Test
    void resumedMemberRefutesItsDeathAndDeclaresNobodyDead() {
        List<Node> nodes = startFleet(12);
        Node frozen = nodes.get(5);
        Incarnation before = frozen.machine.self().incarnation();
        net.freeze(frozen);
        net.pass(20 * SECOND);
        assertEquals(
                MemberStatus.DEAD, nodes.get(0).machine.stateOf(frozen.id).orElseThrow().status());
        net.thaw(frozen);
        awaitAgreement(5);
        Incarnation after = nodes.get(0).machine.stateOf(frozen.id).orElseThrow().incarnation();
        assertEquals(before.generation(), after.generation(), "it is the same life");
        assertTrue(after.refutation() > before.refutation(), "it has refuted");
        assertEquals(List.of(), falseDeaths, "it took none of the others for dead meanwhile");
        assertTrue(frozen.machine.statistics().counters().pauses() > 0);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void partitionsMergeAfterCrashesAndJoinsOnEachSide(int parts) {
        List<Node> nodes = new ArrayList<>(startFleet(24));
        for (int i = 0; i < nodes.size(); i++) {
            net.side(nodes.get(i), i % parts);
        }
        net.pass(5 * SECOND);
        net.crash(nodes.get(4));
        net.crash(nodes.get(9));
        for (int part = 0; part < parts; part++) {
            net.side(net.add("new" + part, nodes.get(part)), part);
        }
        net.pass(20 * SECOND);
        net.heal();
        awaitAgreement(5);
        assertEquals(List.of(), falseDeaths, "nobody is held dead by one that could hear it");
    }

    /**
     * Guards against a cut found out ever more slowly, as those asked in vain are taken for
     * deafness of one's own.
     */
    @Test
    void smallPartitionDetectsUnreachableMembersWithinTwelveSeconds() {
        List<Node> nodes = startFleet(24);
        nodes.forEach(node -> net.side(node, nodes.indexOf(node) < 4 ? 1 : 0));
        net.pass(12 * SECOND);
        for (Node node : nodes.subList(0, 4)) {
            assertEquals(
                    4,
                    node.machine.statistics().members().alive()
                            + node.machine.statistics().members().suspect(),
                    node.id + " holds more");
        }
    }

    @Test
    void oneWayLinksCauseNoFalseDeaths() {
        List<Node> nodes = startFleet(8);
        net.cutOneWay(nodes.get(1), nodes.get(2));
        net.cutOneWay(nodes.get(3), nodes.get(4));
        net.pass(60 * SECOND);
        assertEquals(List.of(), falseDeaths);
        assertEquals("", net.disagreement());
    }

    @Test
    void restartedMemberReplacesItsOldGenerationDuringSuspicionGossip() {
        List<Node> nodes = startFleet(12);
        Node node = nodes.get(3);
        net.crash(node);
        net.pass(SECOND + SECOND / 2); // It is suspected, and told of as suspect.
        net.start(node, nodes.get(0));
        awaitAgreement(5);
        net.pass(15 * SECOND);
        assertEquals("", net.disagreement());
        assertEquals(
                node.life(),
                nodes.get(7).machine.stateOf(node.id).orElseThrow().incarnation().generation());
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 4_000_000_000_000_000L})
    void memberRejoinsAfterAClockJumpBetweenGenerations(long life) {
        List<Node> nodes = startFleet(12);
        Node node = nodes.get(3);
        net.crash(node);
        net.pass(10 * SECOND);
        net.start(node, life, nodes.get(0));
        awaitAgreement(5);
        net.crash(node);
        net.pass(10 * SECOND);
        net.start(node, nodes.get(0));
        awaitAgreement(5);
        Incarnation held = nodes.get(7).machine.stateOf(node.id).orElseThrow().incarnation();
        assertEquals(node.machine.self().incarnation().generation(), held.generation());
    }

    @Test
    void viewsAgreeAgainAfterThirtyPercentLoss() {
        startFleet(24);
        net.loss = 0.3;
        net.pass(30 * SECOND);
        net.loss = 0;
        awaitAgreement(5);
    }

    @Test
    void tenPercentLossCausesNoFalseDeaths() {
        startFleet(30);
        net.loss = 0.1;
        net.doubled = 0.05;
        net.pass(600 * SECOND);
        assertEquals(List.of(), falseDeaths);
    }

    /**
     * Guards against a death for want of one rumour: of hundreds of refutations each misses some
     * view.
     */
    @Test
    void longSuspicionsAreRefutedBeforeTheirTimeout() {
        startFleet(50);
        net.loss = 0.1;
        net.pass(900 * SECOND);
        long suspicions =
                net.nodes().stream()
                        .mapToLong(node -> node.machine.statistics().counters().suspicions())
                        .sum();
        assertTrue(suspicions > 1_000, suspicions + " suspicions had to be refuted");
        assertEquals(List.of(), falseDeaths);
    }

    @Test
    void leavingMemberIsNotDeclaredDead() {
        List<Node> nodes = startFleet(12);
        Set<String> held = new TreeSet<>();
        net.watcher =
                (holder, before, after, why) -> {
                    if (before == null || after == null || before.status() != after.status()) {
                        held.add(after == null ? "none" : after.status() + " " + why);
                    }
                };
        net.leave(nodes.get(4));
        awaitAgreement(2);
        net.pass(20 * SECOND);
        assertEquals(Set.of("LEFT LEFT"), held);
        assertEquals(0, nodes.get(0).machine.statistics().counters().deaths());
    }

    /**
     * Guards against a leave that is held a crash for half a minute by a view that one rumour has
     * missed.
     */
    @Test
    void memberThatMissedALeaveIsCorrectedWhenItSuspects() {
        List<Node> nodes = startFleet(12);
        Node gone = nodes.get(4);
        net.cutOneWay(gone, nodes.get(9));
        nodes.forEach(node -> net.cutOneWay(node, nodes.get(9)));
        net.leave(gone);
        net.pass(SECOND);
        assertEquals(
                MemberStatus.ALIVE, nodes.get(9).machine.stateOf(gone.id).orElseThrow().status());
        net.heal();
        net.pass(9 * SECOND);
        assertEquals(
                MemberStatus.LEFT, nodes.get(9).machine.stateOf(gone.id).orElseThrow().status());
    }

    @Test
    void announcedMetadataReachesAllWithUnknownFields() {
        List<Node> nodes = startFleet(12);
        byte[] raw = {(byte) 0xA2, 0x64, 's', 't', 'a', 't', 'e', 0, 0x61, 'x', 1};
        byte[] good = {
            (byte) 0xA2, 0x64, 'z', 'o', 'n', 'e', 0x61, 'b', 0x63, 'n', 'e', 'w', (byte) 0x82, 1, 2
        };
        net.tell(nodes.get(2), new MembershipEvent.MetadataChanged(MemberMetadata.ofEncoded(good)));
        net.pass(3 * SECOND);
        for (Node node : nodes) {
            assertEquals(
                    MemberMetadata.ofEncoded(good),
                    node.machine.stateOf(nodes.get(2).id).orElseThrow().metadata());
            assertEquals(
                    "b", node.machine.stateOf(nodes.get(2).id).orElseThrow().metadata().zone());
        }
        net.tell(nodes.get(2), new MembershipEvent.MetadataChanged(MemberMetadata.ofEncoded(raw)));
        net.pass(3 * SECOND);
        assertEquals(
                MemberMetadata.Lifecycle.UNKNOWN,
                nodes.get(9).machine.stateOf(nodes.get(2).id).orElseThrow().metadata().lifecycle());
    }

    @Test
    void fullTableEvictsDeadAndLeftMembersForLiveOnes() {
        SwimSettings small = SwimSettings.builder().maxMembers(10).build();
        SimulatedNet other = new SimulatedNet(small, 3);
        Node alone = other.add("alone");
        MemberState one = alone.machine.self();
        for (int i = 0; i < 1_000; i++) {
            MemberState claim =
                    new MemberState(
                            new MemberId("x" + i),
                            one.endpoint(),
                            new Incarnation(5, 0),
                            i % 2 == 0 ? MemberStatus.DEAD : MemberStatus.LEFT,
                            null,
                            0,
                            null);
            Packet packet =
                    new Packet(
                            new MemberId("x0"),
                            one.endpoint(),
                            new Incarnation(6, 0),
                            0,
                            new Message.Gossip(List.of(claim)));
            other.tell(alone, new MembershipEvent.PacketReceived(packet));
        }
        assertTrue(alone.machine.view().members().size() <= 11);
        for (int i = 0; i < 20; i++) {
            Packet packet =
                    new Packet(
                            new MemberId("y" + i),
                            one.endpoint(),
                            new Incarnation(6, 0),
                            0,
                            new Message.Gossip(List.of()));
            other.tell(alone, new MembershipEvent.PacketReceived(packet));
        }
        assertEquals(11, alone.machine.statistics().members().alive());
        assertTrue(alone.machine.statistics().counters().discardedMessages() > 0);
    }

    @Test
    void deadMembersAreForgottenByAllAfterTheRetention() {
        SwimSettings brief = SwimSettings.builder().retention(20 * SECOND, 20 * SECOND).build();
        SimulatedNet other = new SimulatedNet(brief, 3);
        Node first = other.add("p0");
        for (int i = 1; i < 8; i++) {
            other.add("p" + i, first);
        }
        other.pass(15 * SECOND);
        other.crash(other.nodes().get(5));
        other.pass(40 * SECOND);
        for (Node node : other.running()) {
            assertTrue(node.machine.stateOf(other.nodes().get(5).id).isEmpty());
        }
        assertEquals("", other.disagreement());
    }

    @Test
    void duplicateMemberNameIsLoggedOncePerProcess() {
        List<Node> nodes = startFleet(4);
        Node impostor = net.add("p2", nodes.get(0));
        net.pass(30 * SECOND);
        long lines =
                net.said.stream()
                        .filter(line -> line.contains("uses the member name p2 as well"))
                        .count();
        assertTrue(lines >= 1 && lines <= 2, net.said + " by " + impostor.id);
    }

    @Test
    void sameSeedGivesTheSameRun() {
        assertEquals(statusChangeLog(11), statusChangeLog(11));
        assertNotEquals(statusChangeLog(11), statusChangeLog(12));
    }

    private static String statusChangeLog(long seed) {
        SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, seed);
        StringBuilder course = new StringBuilder();
        net.watcher =
                (holder, before, after, why) ->
                        course.append(net.now())
                                .append(holder.id)
                                .append(after.id())
                                .append(after.status());
        Node first = net.add("p0");
        for (int i = 1; i < 10; i++) {
            net.add("p" + i, first);
        }
        net.pass(5 * SECOND);
        net.crash(net.nodes().get(4));
        net.loss = 0.2;
        net.pass(20 * SECOND);
        return course + " " + net.nodes().get(0).bytes;
    }
}
