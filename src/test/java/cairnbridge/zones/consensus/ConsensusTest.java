package cairnbridge.zones.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import cairnbridge.drill.simulated.SimulatedDisk;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.RoutingReason;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneRoute;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Model checking of the consensus with three voters and one to three proposers. Explores all orders
 * in which messages are delivered, delayed or lost, up to a depth and a number of states; random
 * runs go beyond that depth. Invariants: at most one plan is agreed on per epoch, and each agreed
 * plan is derived from the previously agreed one.
 */
class ConsensusTest {
    private static final int VOTERS = 3;

    private record InFlightMessage(int proposer, int voter, ConsensusMessage message) {}

    /**
     * A state of the model. {@code acceptedBy} contains all voters that ever accepted a ballot; a
     * plan is agreed on once a majority of the voters has accepted its ballot.
     */
    private record SystemState(
            List<AcceptorState> voters,
            List<Proposal> proposers,
            List<Integer> restarts,
            Set<InFlightMessage> inFlight,
            Map<Ballot, Set<Integer>> acceptedBy,
            Map<Ballot, Plan> plans) {}

    private static Plan nextPlan(Plan plan, String proposer) {
        return new Plan(plan.epoch() + 1, Map.of(), Map.of(), proposer + "/" + plan.proposer());
    }

    private static SystemState initialState(int proposers) {
        List<AcceptorState> voters = new ArrayList<>();
        List<Proposal> proposals = new ArrayList<>();
        List<Integer> restarts = new ArrayList<>();
        Set<InFlightMessage> inFlight = new HashSet<>();
        for (int i = 0; i < VOTERS; i++) {
            voters.add(AcceptorState.EMPTY);
        }
        for (int i = 0; i < proposers; i++) {
            proposals.add(Proposal.begin(new Ballot(1, "p" + i), VOTERS));
            restarts.add(0);
            sendToVoters(inFlight, i, new ConsensusMessage.Prepare(proposals.get(i).ballot()));
        }
        return new SystemState(voters, proposals, restarts, inFlight, Map.of(), Map.of());
    }

    private static void sendToVoters(
            Set<InFlightMessage> inFlight, int proposer, ConsensusMessage message) {
        for (int voter = 0; voter < VOTERS; voter++) {
            inFlight.add(new InFlightMessage(proposer, voter, message));
        }
    }

    private static SystemState deliver(SystemState state, InFlightMessage delivered) {
        Set<InFlightMessage> inFlight = new HashSet<>(state.inFlight);
        inFlight.remove(delivered);
        boolean toVoter =
                delivered.message instanceof ConsensusMessage.Prepare
                        || delivered.message instanceof ConsensusMessage.Accept;
        if (toVoter) {
            AcceptorState.Transition outcome =
                    state.voters.get(delivered.voter).handle(delivered.message);
            List<AcceptorState> voters = new ArrayList<>(state.voters);
            outcome.next().ifPresent(next -> voters.set(delivered.voter, next));
            inFlight.add(
                    new InFlightMessage(delivered.proposer, delivered.voter, outcome.answer()));
            Map<Ballot, Set<Integer>> accepted = new HashMap<>(state.acceptedBy);
            Map<Ballot, Plan> plans = new HashMap<>(state.plans);
            if (outcome.answer() instanceof ConsensusMessage.Accepted
                    && delivered.message instanceof ConsensusMessage.Accept accept) {
                Set<Integer> acceptors =
                        new HashSet<>(accepted.getOrDefault(accept.ballot(), Set.of()));
                acceptors.add(delivered.voter);
                accepted.put(accept.ballot(), acceptors);
                plans.put(accept.ballot(), accept.plan());
            }
            return new SystemState(
                    voters, state.proposers, state.restarts, inFlight, accepted, plans);
        }
        Proposal proposal =
                state.proposers
                        .get(delivered.proposer)
                        .withAnswer("v" + delivered.voter, delivered.message);
        if (proposal.isPromised()) {
            proposal =
                    proposal.withPlan(
                            nextPlan(proposal.newestAccepted(), proposal.ballot().toString()));
            sendToVoters(
                    inFlight,
                    delivered.proposer,
                    new ConsensusMessage.Accept(
                            proposal.ballot(), proposal.proposed().orElseThrow()));
        }
        List<Proposal> proposals = new ArrayList<>(state.proposers);
        proposals.set(delivered.proposer, proposal);
        return new SystemState(
                state.voters, proposals, state.restarts, inFlight, state.acceptedBy, state.plans);
    }

    /**
     * Starts a new proposal after a crash or a rejection; messages of the old one stay in flight.
     */
    private static SystemState restartProposer(SystemState state, int proposer) {
        Proposal old = state.proposers.get(proposer);
        Proposal next =
                Proposal.begin(
                        old.ballot().superseding(old.highestBallot(), "p" + proposer), VOTERS);
        List<Proposal> proposals = new ArrayList<>(state.proposers);
        proposals.set(proposer, next);
        List<Integer> restarts = new ArrayList<>(state.restarts);
        restarts.set(proposer, restarts.get(proposer) + 1);
        Set<InFlightMessage> inFlight = new HashSet<>(state.inFlight);
        sendToVoters(inFlight, proposer, new ConsensusMessage.Prepare(next.ballot()));
        return new SystemState(
                state.voters, proposals, restarts, inFlight, state.acceptedBy, state.plans);
    }

    private static void assertSafety(SystemState state) {
        Map<Long, Plan> byEpoch = new HashMap<>();
        Map<Ballot, Plan> agreed = new HashMap<>();
        state.acceptedBy.forEach(
                (ballot, acceptors) -> {
                    if (2 * acceptors.size() > VOTERS) {
                        Plan plan = state.plans.get(ballot);
                        agreed.put(ballot, plan);
                        Plan other = byEpoch.put(plan.epoch(), plan);
                        if (other != null && !other.equals(plan)) {
                            fail(
                                    "two plans are agreed on for epoch "
                                            + plan.epoch()
                                            + ": "
                                            + plan
                                            + " and "
                                            + other);
                        }
                    }
                });
        agreed.forEach(
                (ballot, plan) ->
                        agreed.forEach(
                                (later, next) -> {
                                    if (later.compareTo(ballot) > 0
                                            && !next.proposer().endsWith(plan.proposer())) {
                                        fail(
                                                next
                                                        + " was agreed on after "
                                                        + plan
                                                        + " and is not derived from it");
                                    }
                                }));
    }

    /**
     * Explores the states reachable within a depth, at most {@code maxStates}, and checks the
     * invariants; returns the number of states.
     */
    private static int explore(int proposers, int depth, int maxRestarts, int maxStates) {
        Set<SystemState> seen = new HashSet<>();
        ArrayDeque<SystemState> frontier = new ArrayDeque<>(List.of(initialState(proposers)));
        for (int i = 0; i < depth && !frontier.isEmpty(); i++) {
            ArrayDeque<SystemState> nextFrontier = new ArrayDeque<>();
            for (SystemState state : frontier) {
                for (InFlightMessage delivered : state.inFlight) {
                    SystemState after = deliver(state, delivered);
                    if (seen.size() < maxStates && seen.add(after)) {
                        assertSafety(after);
                        nextFrontier.add(after);
                    }
                }
                for (int p = 0; p < proposers; p++) {
                    if (state.restarts.get(p) < maxRestarts && seen.size() < maxStates) {
                        SystemState after = restartProposer(state, p);
                        if (seen.add(after)) {
                            nextFrontier.add(after);
                        }
                    }
                }
            }
            frontier = nextFrontier;
        }
        return seen.size();
    }

    @ParameterizedTest
    @CsvSource({"1, 14, 1, 40000", "2, 12, 0, 80000", "2, 9, 1, 40000", "3, 7, 1, 40000"})
    void everyMessageOrderAgreesOnAtMostOnePlanPerEpoch(
            int proposers, int depth, int restarts, int maxStates) {
        int states = explore(proposers, depth, restarts, maxStates);
        assertTrue(states > 1_000, states + " states");
    }

    /**
     * Covers runs longer than the exhaustive exploration can reach: random runs with lost and
     * delayed messages and restarts of proposers.
     */
    @Test
    void longRandomRunsAgreeOnAtMostOnePlanPerEpoch() {
        int agreed = 0;
        for (long seed = 1; seed <= 4_000; seed++) {
            RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            SystemState state = initialState(3);
            for (int i = 0; i < 60 && !state.inFlight.isEmpty(); i++) {
                List<InFlightMessage> inFlight = new ArrayList<>(state.inFlight);
                inFlight.sort(Comparator.comparing(InFlightMessage::toString));
                InFlightMessage delivered = inFlight.get(random.nextInt(inFlight.size()));
                int action = random.nextInt(12);
                if (action == 0) {
                    Set<InFlightMessage> remaining = new HashSet<>(state.inFlight);
                    remaining.remove(delivered);
                    state =
                            new SystemState(
                                    state.voters,
                                    state.proposers,
                                    state.restarts,
                                    remaining,
                                    state.acceptedBy,
                                    state.plans);
                } else if (action == 1) {
                    state = restartProposer(state, random.nextInt(3));
                } else {
                    state = deliver(state, delivered);
                }
                assertSafety(state);
            }
            agreed +=
                    (int)
                            state.acceptedBy.values().stream()
                                    .filter(acceptors -> 2 * acceptors.size() > VOTERS)
                                    .count();
        }
        assertTrue(agreed > 4_000, agreed + " plans were agreed on");
    }

    /**
     * Guards against a safety check that accepts every state: a voter that loses its state must be
     * detected.
     */
    @Test
    void theSafetyCheckDetectsAVoterThatLosesItsState() {
        SystemState state = initialState(2);
        state = deliver(state, 0, ConsensusMessage.Prepare.class, 0, 1);
        state = deliver(state, 0, ConsensusMessage.Promise.class, 0, 1);
        state = deliver(state, 0, ConsensusMessage.Accept.class, 0, 1);
        List<AcceptorState> votersAfterLoss = new ArrayList<>(state.voters);
        votersAfterLoss.set(1, AcceptorState.EMPTY);
        SystemState lost =
                new SystemState(
                        votersAfterLoss,
                        state.proposers,
                        state.restarts,
                        state.inFlight,
                        state.acceptedBy,
                        state.plans);
        lost = deliver(lost, 1, ConsensusMessage.Prepare.class, 1, 2);
        lost = deliver(lost, 1, ConsensusMessage.Promise.class, 1, 2);
        SystemState unsafe = deliver(lost, 1, ConsensusMessage.Accept.class, 1, 2);
        assertThrows(AssertionError.class, () -> assertSafety(unsafe));
    }

    private static SystemState deliver(
            SystemState state,
            int proposer,
            Class<? extends ConsensusMessage> kind,
            int... voters) {
        SystemState after = state;
        for (int voter : voters) {
            InFlightMessage delivered =
                    after.inFlight.stream()
                            .filter(
                                    candidate ->
                                            candidate.proposer == proposer
                                                    && candidate.voter == voter
                                                    && kind.isInstance(candidate.message))
                            .findFirst()
                            .orElseThrow();
            after = deliver(after, delivered);
        }
        return after;
    }

    /**
     * Guards against a voter that restarts with an older state than one it has answered with,
     * because the file was synced but the directory with its new name was not.
     */
    @Test
    void aPowerLossNeverRestoresAnOlderStateThanTheLastOneWritten() throws IOException {
        for (int seed = 0; seed < 500; seed++) {
            RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            SimulatedDisk disk = new SimulatedDisk(random);
            AcceptorStateFile file = new AcceptorStateFile(disk, "zones.state");
            int answered = 0;
            for (int round = 1; round <= 20; round++) {
                disk.fails(random.nextInt(4) == 0 ? 0.2 : 0);
                try {
                    file.write(new AcceptorState(new Ballot(round, "p1"), Ballot.NONE, Plan.EMPTY));
                    answered = round;
                } catch (IOException e) {
                    assertTrue(e.getMessage().contains("No space"), e.toString());
                }
                if (random.nextInt(3) == 0) {
                    disk.losePower();
                    long read = file.read().promised().round();
                    assertTrue(
                            read >= answered, "seed " + seed + ": " + read + " after " + answered);
                }
            }
        }
    }

    @Test
    void stateFilesAndMessagesRoundTripAndCorruptFilesAreRejected(@TempDir Path folder)
            throws IOException {
        Path path = folder.resolve("zones.state");
        AcceptorStateFile file =
                new AcceptorStateFile(new FileStorageDirectory(folder), "zones.state");
        assertEquals(AcceptorState.EMPTY, file.read());
        Plan plan =
                new Plan(
                        7,
                        Map.of(
                                new Zone("a"),
                                new ZoneRoute(
                                        Map.of(new Zone("b"), 400),
                                        600,
                                        RoutingReason.UNREACHABLE)),
                        Map.of(new Zone("c"), 5L),
                        "p1");
        AcceptorState state = new AcceptorState(new Ballot(9, "p2"), new Ballot(8, "p1"), plan);
        file.write(state);
        assertEquals(state, file.read());
        byte[] intact = Files.readAllBytes(path);
        for (int at = 0; at < intact.length; at++) {
            byte[] corrupted = intact.clone();
            corrupted[at] ^= 1;
            Files.write(path, corrupted);
            assertThrows(IOException.class, file::read, "byte " + at);
            Files.write(path, java.util.Arrays.copyOf(intact, at));
            assertThrows(IOException.class, file::read, at + " bytes");
        }
        for (ConsensusMessage message :
                List.of(
                        new ConsensusMessage.Prepare(state.promised()),
                        new ConsensusMessage.Accepted(state.promised()),
                        new ConsensusMessage.Promise(state.promised(), state.accepted(), plan),
                        new ConsensusMessage.Accept(state.promised(), plan),
                        new ConsensusMessage.Rejected(Ballot.NONE, state.promised()))) {
            assertEquals(message, ConsensusCodec.decodeMessage(ConsensusCodec.encode(message)));
            assertThrows(
                    IllegalArgumentException.class,
                    () -> ConsensusCodec.decodeState(ConsensusCodec.encode(message)));
        }
    }
}
