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

/** Tests each kind of failure that the membership protocol must handle, on a simulated network. */
class SwimProtocolTest {
    private static final long STEP = SECOND / 20;
    private final SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, 7);

    /** Deaths, in any view, of members that were in fact running, not frozen and reachable. */
    private final List<String> falseDeaths = new ArrayList<>();

    private List<Node> startFleet(int size) {
        Node first = net.add("p0");
        for (int i = 1; i < size; i++) {
            net.add("p" + i, first);
        }
        awaitAgreement(10);
        net.watcher =
                (observer, before, after, reason) -> {
                    if (after != null
                            && after.status() == MemberStatus.DEAD
                            && (before == null || before.status().isLive())
                            && net.running().stream()
                                    .anyMatch(
                                            node ->
                                                    node.id.equals(after.id())
                                                            && node.side == observer.side)) {
                        falseDeaths.add(observer.id + ": " + after.id() + " dead: " + reason);
                    }
                };
        return net.nodes();
    }

    private long awaitAgreement(int seconds) {
        long duration = net.untilAgreed(seconds * SECOND, STEP);
        assertTrue(duration >= 0, "after " + seconds + " s " + net.disagreement());
        return duration;
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

    /** Guards against slow convergence when first calls are answered before others have joined. */
    @Test
    void twoHundredSimultaneousStartsAgreeWithinSevenSeconds() {
        Node seed = net.add("seed");
        for (int i = 0; i < 200; i++) {
            net.add("p" + i, seed);
        }
        assertTrue(awaitAgreement(7) > 0);
    }

    /**
     * Guards against partitions of a fleet that starts at once, when each part joins through a seed
     * that knows no other member: the parts used to find each other only through calls to missing
     * seeds after five seconds and more.
     */
    @Test
    void twoSeparatelyJoinedPairsMergeWithinTwoSeconds() {
        Node[] seeds = {net.add("p1"), net.add("p2"), net.add("p3"), net.add("p4")};
        List.of(seeds).forEach(net::crash);
        net.pass(SECOND);
        // The generation selects the first seed to call: p1 calls p2, and p3 calls p4.
        long[] generations = {3_000, 3_003, 3_002, 3_005};
        for (int i = 0; i < seeds.length; i++) {
            net.start(seeds[i], generations[i], seeds);
        }
        net.pass(SECOND / 10);
        assertEquals(2, seeds[0].machine.liveCount(), "size of each pair");
        assertEquals(2, seeds[3].machine.liveCount(), "size of each pair");
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
        assertEquals(before.generation(), after.generation(), "generation after the freeze");
        assertTrue(after.refutation() > before.refutation(), "no refutation after the freeze");
        assertEquals(List.of(), falseDeaths, "false deaths during the freeze");
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
        assertEquals(List.of(), falseDeaths, "false deaths of reachable members");
    }

    /**
     * Guards against ever slower detection of a partition, when unanswered ping requests to
     * unreachable relays count as bad local reception.
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
                    node.id + " has members of the other partition in its view");
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
        net.pass(SECOND + SECOND / 2); // Other members gossip that it is suspect.
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
    void memberRejoinsAfterAClockJumpBetweenGenerations(long generation) {
        List<Node> nodes = startFleet(12);
        Node node = nodes.get(3);
        net.crash(node);
        net.pass(10 * SECOND);
        net.start(node, generation, nodes.get(0));
        awaitAgreement(5);
        net.crash(node);
        net.pass(10 * SECOND);
        net.start(node, nodes.get(0));
        awaitAgreement(5);
        Incarnation recorded = nodes.get(7).machine.stateOf(node.id).orElseThrow().incarnation();
        assertEquals(node.machine.self().incarnation().generation(), recorded.generation());
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
     * Guards against a false death because of one lost update: each of hundreds of refutations
     * fails to reach some view.
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
        assertTrue(suspicions > 1_000, suspicions + " suspicions");
        assertEquals(List.of(), falseDeaths);
    }

    @Test
    void leavingMemberIsNotDeclaredDead() {
        List<Node> nodes = startFleet(12);
        Set<String> statusChanges = new TreeSet<>();
        net.watcher =
                (observer, before, after, reason) -> {
                    if (before == null || after == null || before.status() != after.status()) {
                        statusChanges.add(after == null ? "none" : after.status() + " " + reason);
                    }
                };
        net.leave(nodes.get(4));
        awaitAgreement(2);
        net.pass(20 * SECOND);
        assertEquals(Set.of("LEFT LEFT"), statusChanges);
        assertEquals(0, nodes.get(0).machine.statistics().counters().deaths());
    }

    /** Guards against a missed leave that one view takes for a crash for half a minute. */
    @Test
    void memberThatMissedALeaveIsCorrectedWhenItSuspects() {
        List<Node> nodes = startFleet(12);
        Node left = nodes.get(4);
        net.cutOneWay(left, nodes.get(9));
        nodes.forEach(node -> net.cutOneWay(node, nodes.get(9)));
        net.leave(left);
        net.pass(SECOND);
        assertEquals(
                MemberStatus.ALIVE, nodes.get(9).machine.stateOf(left.id).orElseThrow().status());
        net.heal();
        net.pass(9 * SECOND);
        assertEquals(
                MemberStatus.LEFT, nodes.get(9).machine.stateOf(left.id).orElseThrow().status());
    }

    @Test
    void announcedMetadataReachesAllWithUnknownFields() {
        List<Node> nodes = startFleet(12);
        byte[] withUnknownState = {(byte) 0xA2, 0x64, 's', 't', 'a', 't', 'e', 0, 0x61, 'x', 1};
        byte[] withUnknownField = {
            (byte) 0xA2, 0x64, 'z', 'o', 'n', 'e', 0x61, 'b', 0x63, 'n', 'e', 'w', (byte) 0x82, 1, 2
        };
        net.tell(
                nodes.get(2),
                new MembershipEvent.MetadataChanged(MemberMetadata.ofEncoded(withUnknownField)));
        net.pass(3 * SECOND);
        for (Node node : nodes) {
            assertEquals(
                    MemberMetadata.ofEncoded(withUnknownField),
                    node.machine.stateOf(nodes.get(2).id).orElseThrow().metadata());
            assertEquals(
                    "b", node.machine.stateOf(nodes.get(2).id).orElseThrow().metadata().zone());
        }
        net.tell(
                nodes.get(2),
                new MembershipEvent.MetadataChanged(MemberMetadata.ofEncoded(withUnknownState)));
        net.pass(3 * SECOND);
        assertEquals(
                MemberMetadata.Lifecycle.UNKNOWN,
                nodes.get(9).machine.stateOf(nodes.get(2).id).orElseThrow().metadata().lifecycle());
    }

    @Test
    void fullTableEvictsDeadAndLeftMembersForLiveOnes() {
        SwimSettings settings = SwimSettings.builder().maxMembers(10).build();
        SimulatedNet smallNet = new SimulatedNet(settings, 3);
        Node alone = smallNet.add("alone");
        MemberState self = alone.machine.self();
        for (int i = 0; i < 1_000; i++) {
            MemberState statement =
                    new MemberState(
                            new MemberId("x" + i),
                            self.endpoint(),
                            new Incarnation(5, 0),
                            i % 2 == 0 ? MemberStatus.DEAD : MemberStatus.LEFT,
                            null,
                            0,
                            null);
            Packet packet =
                    new Packet(
                            new MemberId("x0"),
                            self.endpoint(),
                            new Incarnation(6, 0),
                            0,
                            new Message.Gossip(List.of(statement)));
            smallNet.tell(alone, new MembershipEvent.PacketReceived(packet));
        }
        assertTrue(alone.machine.view().members().size() <= 11);
        for (int i = 0; i < 20; i++) {
            Packet packet =
                    new Packet(
                            new MemberId("y" + i),
                            self.endpoint(),
                            new Incarnation(6, 0),
                            0,
                            new Message.Gossip(List.of()));
            smallNet.tell(alone, new MembershipEvent.PacketReceived(packet));
        }
        assertEquals(11, alone.machine.statistics().members().alive());
        assertTrue(alone.machine.statistics().counters().discardedMessages() > 0);
    }

    @Test
    void deadMembersAreForgottenByAllAfterTheRetention() {
        SwimSettings settings = SwimSettings.builder().retention(20 * SECOND, 20 * SECOND).build();
        SimulatedNet smallNet = new SimulatedNet(settings, 3);
        Node first = smallNet.add("p0");
        for (int i = 1; i < 8; i++) {
            smallNet.add("p" + i, first);
        }
        smallNet.pass(15 * SECOND);
        smallNet.crash(smallNet.nodes().get(5));
        smallNet.pass(40 * SECOND);
        for (Node node : smallNet.running()) {
            assertTrue(node.machine.stateOf(smallNet.nodes().get(5).id).isEmpty());
        }
        assertEquals("", smallNet.disagreement());
    }

    @Test
    void duplicateMemberNameIsLoggedOncePerProcess() {
        List<Node> nodes = startFleet(4);
        Node duplicate = net.add("p2", nodes.get(0));
        net.pass(30 * SECOND);
        long lines =
                net.said.stream()
                        .filter(line -> line.contains("uses the member name p2 as well"))
                        .count();
        assertTrue(lines >= 1 && lines <= 2, net.said + " by " + duplicate.id);
    }

    @Test
    void sameSeedGivesTheSameRun() {
        assertEquals(statusChangeLog(11), statusChangeLog(11));
        assertNotEquals(statusChangeLog(11), statusChangeLog(12));
    }

    private static String statusChangeLog(long seed) {
        SimulatedNet net = new SimulatedNet(SwimSettings.DEFAULT, seed);
        StringBuilder changes = new StringBuilder();
        net.watcher =
                (observer, before, after, reason) ->
                        changes.append(net.now())
                                .append(observer.id)
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
        return changes + " " + net.nodes().get(0).bytes;
    }
}
