package cairnbridge.zones;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.member.ZoneOutcome;
import cairnbridge.fleet.membership.MembershipStatistics;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.hash.Fnv1a;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.consensus.AcceptorStateFile;
import cairnbridge.zones.consensus.Ballot;
import cairnbridge.zones.consensus.ConsensusCodec;
import cairnbridge.zones.consensus.ConsensusMessage;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.PlannerSettings;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneHealth;
import cairnbridge.zones.plan.ZoneRoute;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Runs the coordinators of six members in three zones, three of them voters: election of the
 * proposer, agreement on plans, and members that miss plans.
 */
class ZonePlanCoordinatorTest {
    private static final long SECOND = 10_000;
    private static final Zone A = new Zone("a");
    @TempDir Path folder;
    private final Map<String, Member> members = new TreeMap<>();

    /** The highest epoch that each member persisted before a power loss. */
    private long epochFloor;

    private final Set<String> stopped = new HashSet<>();
    private final Map<String, Set<String>> partitions = new HashMap<>();
    private final Map<String, List<Long>> unreachableNodes = new HashMap<>();
    private long now = 100 * SECOND;

    private final class Member implements ZonePlanHost {
        final String name;
        final ZonePlanCoordinator coordinator;
        final List<String> log = new ArrayList<>();
        final List<Long> epochs = new ArrayList<>();
        boolean frozen;
        boolean diskBlocked;
        final List<Runnable> blockedWrites = new ArrayList<>();

        Member(String name) throws IOException {
            this.name = name;
            ZoneSettings config =
                    new ZoneSettings(
                            true,
                            List.of(new MemberId("p1"), new MemberId("p2"), new MemberId("p3")),
                            folder.resolve(name),
                            100,
                            Map.of("a", "r", "b", "r", "c", "s"),
                            PlannerSettings.DEFAULT,
                            0.2);
            coordinator =
                    new ZonePlanCoordinator(
                            new MemberId(name),
                            config,
                            new ZoneHealth.NodeRates(100, 0.25, 3 * SECOND, config.regions()),
                            RandomGeneratorFactory.of("L64X128MixRandom").create(name.hashCode()),
                            epochFloor,
                            new AcceptorStateFile(new FileStorageDirectory(folder), name).read(),
                            this);
        }

        @Override
        public void call(
                MemberId to, String topic, byte[] bytes, Consumer<Optional<byte[]>> callback) {
            Member receiver = members.get(to.name());
            boolean lost =
                    stopped.contains(to.name())
                            || receiver.frozen
                            || isPartitioned(name, to.name());
            if (lost) {
                callback.accept(Optional.empty());
            } else {
                receiver.coordinator.messageReceived(
                        topic, bytes, answer -> callback.accept(Optional.of(answer)));
            }
        }

        /** Delays writes while the disk is blocked. */
        @Override
        public void persist(AcceptorState state, Consumer<Optional<String>> callback) {
            Runnable write =
                    () -> {
                        try {
                            new AcceptorStateFile(new FileStorageDirectory(folder), name)
                                    .write(state);
                            callback.accept(Optional.empty());
                        } catch (IOException e) {
                            callback.accept(Optional.of(e.toString()));
                        }
                    };
            if (diskBlocked) {
                blockedWrites.add(write);
            } else {
                write.run();
            }
        }

        @Override
        public List<ListedNode> listedNodes() {
            List<ListedNode> nodes = new ArrayList<>();
            for (String zone : List.of("a", "b", "c")) {
                for (int i = 0; i < 4; i++) {
                    nodes.add(new ListedNode(Fnv1a.hash(zone + i), new Zone(zone), true, 1, 0));
                }
            }
            return nodes;
        }

        @Override
        public void planChanged(Plan plan) {
            epochs.add(plan.epoch());
        }

        @Override
        public void log(String line) {
            log.add(line);
        }
    }

    private boolean isPartitioned(String first, String second) {
        return partitions.getOrDefault(first, Set.of()).contains(second)
                || partitions.getOrDefault(second, Set.of()).contains(first);
    }

    private ZonePlanCoordinatorTest startFleet() throws IOException {
        for (int i = 1; i <= 6; i++) {
            members.put("p" + i, new Member("p" + i));
        }
        return this;
    }

    private MembershipView view(String observer) {
        List<MemberState> states = new ArrayList<>();
        for (Member member : members.values()) {
            boolean dead =
                    stopped.contains(member.name)
                            || member.frozen
                            || isPartitioned(observer, member.name);
            String zone =
                    List.of("a", "b", "c")
                            .get((Integer.parseInt(member.name.substring(1)) - 1) % 3);
            MemberMetadata metadata =
                    MemberMetadata.builder()
                            .location(zone, "r")
                            .protocolVersion(2)
                            .planEpoch(member.coordinator.plan().epoch())
                            .recovery(new RecoveryProgress(0, 0, epochFloor))
                            .metrics(
                                    new MemberMetrics(
                                            new MemberMetrics.Load(0, 0, 100),
                                            new MemberMetrics.EndpointListStatus(1, true),
                                            new MemberMetrics.Reachability(
                                                    unreachableNodes.getOrDefault(
                                                            member.name, List.of()),
                                                    List.of(
                                                            new ZoneOutcome(
                                                                    Fnv1a.hash(zone), 50, 0)),
                                                    List.of())))
                            .build();
            states.add(
                    new MemberState(
                            new MemberId(member.name),
                            new Endpoint("10.0.0.1", 1),
                            new Incarnation(1, 0),
                            dead ? MemberStatus.DEAD : MemberStatus.ALIVE,
                            null,
                            1,
                            metadata));
        }
        return new MembershipView(new MemberId(observer), states, 0, MembershipStatistics.EMPTY);
    }

    private void advanceSeconds(int seconds) {
        for (int i = 0; i < 4 * seconds; i++) {
            now += SECOND / 4;
            for (Member member : members.values()) {
                if (!stopped.contains(member.name) && !member.frozen) {
                    member.coordinator.viewPublished(view(member.name), now, now / 10);
                }
            }
        }
    }

    private void makeZoneAUnreachableFor(String... names) {
        for (String name : names) {
            unreachableNodes.put(
                    name,
                    List.of(
                            Fnv1a.hash("a0"),
                            Fnv1a.hash("a1"),
                            Fnv1a.hash("a2"),
                            Fnv1a.hash("a3")));
        }
    }

    private Plan plan(String name) {
        return members.get(name).coordinator.plan();
    }

    @Test
    void noMemberRoutesToAnUnreachableZoneAfterThreeSeconds() throws IOException {
        startFleet().advanceSeconds(6);
        assertEquals(Plan.EMPTY, plan("p6"), "no plan without a failure");
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(3);
        members.keySet().forEach(name -> assertEquals(0, plan(name).routeOf(A).shareOf(A), name));
        advanceSeconds(20);
        members.keySet().forEach(name -> assertEquals(plan("p1"), plan(name)));
        assertEquals(0, plan("p1").routeOf(A).shed());
    }

    /**
     * Guards against voters that lost their disks in a power loss and restart the epochs from 0.
     */
    @Test
    void afterAPowerLossNewEpochsExceedTheHighestPersistedEpoch() throws IOException {
        epochFloor = 40;
        startFleet().advanceSeconds(6);
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(3);
        members.keySet().forEach(name -> assertEquals(0, plan(name).routeOf(A).shareOf(A), name));
        assertTrue(plan("p6").epoch() > 40, "epoch " + plan("p6").epoch());
    }

    /** Guards against a fault of one proxy that is taken for the failure of a zone. */
    @Test
    void aZoneThatOnlyOneMemberCannotReachKeepsItsTraffic() throws IOException {
        startFleet();
        makeZoneAUnreachableFor("p1");
        advanceSeconds(20);
        assertEquals(Plan.EMPTY, plan("p1"));
    }

    @Test
    void theNextVoterReplacesAFrozenProposerWhichCatchesUpAfterItResumes() throws IOException {
        startFleet().advanceSeconds(6);
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(1);
        members.get("p1").frozen = true;
        advanceSeconds(15);
        assertEquals("p2", plan("p5").proposer());
        Plan before = plan("p1");
        assertTrue(before.epoch() < plan("p5").epoch());
        members.get("p1").frozen = false;
        advanceSeconds(3);
        assertTrue(
                plan("p1").epoch() >= plan("p5").epoch(),
                "it receives the newer plan before it proposes");
        for (Member member : members.values()) {
            for (int i = 1; i < member.epochs.size(); i++) {
                assertTrue(member.epochs.get(i) > member.epochs.get(i - 1), "epochs must increase");
            }
        }
    }

    @Test
    void aMinorityPartitionKeepsItsPlanAndHealingLeavesNoRoutes() throws IOException {
        startFleet().advanceSeconds(6);
        for (String name : List.of("p1", "p4")) {
            partitions.put(name, Set.of("p2", "p3", "p5", "p6"));
        }
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(10);
        assertEquals(0, plan("p1").epoch());
        assertTrue(members.get("p1").coordinator.status().contains("NO MAJORITY"));
        unreachableNodes.clear();
        partitions.clear();
        advanceSeconds(5);
        assertEquals(Plan.EMPTY.routes(), plan("p3").routes());
    }

    @Test
    void operatorsDrainAZoneThroughAnyMemberAndCannotRestoreItBeforeTheRequestedTime()
            throws IOException {
        startFleet().advanceSeconds(6);
        assertEquals("400 no such zone", members.get("p6").coordinator.execute("drain z 5"));
        assertTrue(
                members.get("p6").coordinator.execute("drain b 20").startsWith("200 handed to p1"));
        advanceSeconds(8);
        Zone b = new Zone("b");
        members.keySet().forEach(name -> assertEquals(0, plan(name).routeOf(b).shareOf(b), name));
        assertTrue(
                members.get("p1").coordinator.execute("restore b").startsWith("400 drained for "));
        advanceSeconds(16);
        assertEquals(
                "200 taken, zones shows when it is in force",
                members.get("p1").coordinator.execute("restore b"));
        advanceSeconds(30);
        members.keySet()
                .forEach(
                        name ->
                                assertEquals(
                                        ZoneRoute.TOTAL, plan(name).routeOf(b).shareOf(b), name));
    }

    /**
     * Guards against a voter that sends a promise before it is persisted, which a power loss would
     * revoke, and against a proposer that needs an answer from a voter with a blocked disk although
     * the other two are a majority.
     */
    @Test
    void aVoterWithABlockedDiskAnswersOnlyOncePersistedWhileOtherVotersAgree() throws IOException {
        startFleet().advanceSeconds(6);
        Member slow = members.get("p2");
        slow.diskBlocked = true;
        List<byte[]> answers = new ArrayList<>();
        ConsensusMessage.Prepare prepare = new ConsensusMessage.Prepare(new Ballot(50, "p9"));
        slow.coordinator.messageReceived(
                ZonePlanCoordinator.CONSENSUS_TOPIC, ConsensusCodec.encode(prepare), answers::add);
        slow.coordinator.messageReceived(
                ZonePlanCoordinator.CONSENSUS_TOPIC,
                ConsensusCodec.encode(new ConsensusMessage.Prepare(new Ballot(60, "p9"))),
                answers::add);
        assertEquals(0, answers.size(), "nothing is persisted yet");
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(6);
        assertEquals(
                0,
                plan("p5").routeOf(new Zone("a")).shareOf(new Zone("a")),
                "two of three voters are a majority");
        slow.diskBlocked = false;
        List.copyOf(slow.blockedWrites).forEach(Runnable::run);
        assertTrue(answers.size() >= 2, "delayed messages are answered in order");
        assertTrue(
                ConsensusCodec.decodeMessage(answers.get(0)) instanceof ConsensusMessage.Promise);
        assertEquals(prepare.ballot(), ConsensusCodec.decodeMessage(answers.get(0)).ballot());
    }

    @Test
    void theAgreedPlanSurvivesARestartOfAllVoters() throws IOException {
        startFleet().advanceSeconds(6);
        makeZoneAUnreachableFor("p1", "p4");
        advanceSeconds(4);
        long epoch = plan("p1").epoch();
        for (String name : List.of("p1", "p2", "p3")) {
            members.put(name, new Member(name));
        }
        unreachableNodes.clear();
        members.keySet().removeIf(name -> name.compareTo("p3") > 0);
        advanceSeconds(3);
        assertTrue(
                plan("p2").epoch() >= epoch,
                "the plan exists only in the voters' files: " + plan("p2").epoch());
    }
}
