package cairnbridge.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.store.PersistedState;
import cairnbridge.store.StoreSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** The recovery of one proxy after a power loss: its phases and its admission of requests. */
class RecoveryCoordinatorTest {
    private static final long SECOND = 10_000;
    private static final long MILLISECOND = 10;
    private static final int READ = 0;
    private static final int AT_MOST_ONCE_WRITE = 1;
    private static final int HIGH_PRIORITY = 2;
    private static final int DEDUPLICATED = 3;
    private static final List<Category> CATEGORIES =
            List.of(
                    category(Effect.IDEMPOTENT, 1),
                    category(Effect.AT_MOST_ONCE, 2),
                    category(Effect.IDEMPOTENT, 9),
                    category(Effect.DEDUPLICATED, 1));
    private static final RecoverySettings SETTINGS =
            new RecoverySettings(
                    new StoreSettings(Path.of("unused"), "c", 1_000, 1_000_000),
                    3_600 * SECOND,
                    10 * SECOND,
                    8,
                    120 * SECOND);

    private static Category category(Effect effect, double priorityWeight) {
        return new Category(
                effect,
                DeduplicationScope.ALL_NODES,
                SECOND,
                SECOND / 4,
                2,
                SECOND,
                priorityWeight,
                0,
                false);
    }

    private static final class RecordingHost implements RecoveryHost {
        final List<String> calls = new ArrayList<>();

        @Override
        public void usePersistedList() {
            calls.add("usePersistedList");
        }

        @Override
        public void requestEndpointList(String member) {
            calls.add("requestEndpointList " + member);
        }

        @Override
        public void acceptStaleList() {
            calls.add("acceptStaleList");
        }

        @Override
        public void probeOrigin() {
            calls.add("probeOrigin");
        }

        @Override
        public void log(String message) {
            calls.add(message);
        }
    }

    private final RecordingHost host = new RecordingHost();
    private long now = 1_000 * SECOND;
    private long lastRequestId;

    /** Four other members and version 7 of the endpoint list were persisted. */
    private final RecoveryCoordinator recovery = coordinator(4, 7);

    private RecoveryCoordinator coordinator(int peers, long version) {
        RestoredState restored =
                new RestoredState(
                        List.of(),
                        3,
                        5,
                        new PersistedState.EndpointList(version, version == 0 ? "" : "{}"),
                        List.of(),
                        peers,
                        true,
                        List.of());
        return new RecoveryCoordinator(
                SETTINGS,
                restored,
                new RecoveryCoordinator.Deployment(
                        CATEGORIES, 5, new MachineKind(1), true, "p1", "a"),
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                now,
                host);
    }

    private static FleetSnapshot.Peer recoveringPeer(String id, long version, int originLimit) {
        return new FleetSnapshot.Peer(
                id,
                "a",
                Optional.of(RecoveryPhase.AWAIT_ENDPOINT_LIST),
                true,
                originLimit,
                version);
    }

    private static FleetSnapshot.Peer peerWithFullState(String id, long version) {
        return new FleetSnapshot.Peer(id, "a", Optional.empty(), true, 0, version);
    }

    private void changeFleet(FleetSnapshot.Peer... peers) {
        recovery.fleetChanged(new FleetSnapshot(List.of(peers)), now);
    }

    private void advanceBy(long duration) {
        for (long left = duration; left > 0; left -= 100 * MILLISECOND) {
            now += Math.min(left, 100 * MILLISECOND);
            recovery.advance(now);
        }
    }

    private AdmissionDecision admit(int category, long key) {
        return recovery.admit(
                new IncomingRequest(
                        new RequestId(++lastRequestId),
                        new CategoryId(category),
                        new KeyId(key),
                        category == AT_MOST_ONCE_WRITE,
                        false,
                        now + SECOND),
                now);
    }

    private AdmissionDecision.Kind admitKind(int category, long key) {
        return admit(category, key).kind();
    }

    /** Ends the only attempt of a request, which went to the origin, and the request with it. */
    private void completeAtOrigin(long request, boolean succeeded, long duration) {
        recovery.attemptEnded(new RequestId(request), true, succeeded, duration, now);
        recovery.requestAnswered(new RequestId(request));
    }

    /** Advances to the phase that serves reads. */
    private void advanceToReads() {
        changeFleet(recoveringPeer("p2", 7, 8), recoveringPeer("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        recovery.originProbed(true, now);
        advanceBy(SECOND / 2);
        assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
    }

    @Test
    void aFleetThatKeptItsStateEndsTheRecoveryAtOnce() {
        assertEquals(AdmissionDecision.Kind.REJECTED, admitKind(READ, 1));
        changeFleet(
                peerWithFullState("p2", 9), peerWithFullState("p3", 9), peerWithFullState("p4", 9));
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        recovery.listReceived(9, 0, now);
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(READ, 1));
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(AT_MOST_ONCE_WRITE, 1));
    }

    /** Guards against a proxy that waits for discovery, although discovery recovers last. */
    @Test
    void aMajorityWithTheSameListConfirmsItWithoutDiscovery() {
        changeFleet(recoveringPeer("p2", 7, 8));
        advanceBy(3 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_MEMBERS, recovery.phase());
        changeFleet(recoveringPeer("p2", 7, 8), recoveringPeer("p3", 7, 8));
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        assertTrue(host.calls.contains("usePersistedList"), host.calls.toString());
        assertFalse(recovery.isEndpointListConfirmed());
        recovery.unconfirmedListUsed(7, 0, now);
        assertTrue(recovery.isEndpointListConfirmed());
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
    }

    /** Guards against using an outdated list when the proxy that persisted it starts first. */
    @Test
    void aProxyWithAnOlderListRequestsTheNewestOne() {
        RecoveryCoordinator coordinator = coordinator(4, 3);
        coordinator.unconfirmedListUsed(3, 0, now);
        coordinator.fleetChanged(
                new FleetSnapshot(
                        List.of(
                                recoveringPeer("p2", 7, 8),
                                recoveringPeer("p3", 7, 8),
                                recoveringPeer("p4", 8, 8))),
                now);
        assertFalse(coordinator.isEndpointListConfirmed());
        assertTrue(host.calls.contains("requestEndpointList p4"), host.calls.toString());
        coordinator.unconfirmedListUsed(8, 0, now);
        assertTrue(coordinator.isEndpointListConfirmed());
    }

    @Test
    void withoutMembersOnlyIdempotentRequestsAreServed() {
        advanceBy(10 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        recovery.unconfirmedListUsed(7, 0, now);
        advanceBy(10 * SECOND);
        recovery.originProbed(true, now);
        advanceBy(SECOND);
        assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(READ, 1));
        assertEquals(
                AdmissionDecision.Reason.ENDPOINT_LIST_UNCONFIRMED,
                admit(AT_MOST_ONCE_WRITE, 2).reason());
        assertEquals(
                AdmissionDecision.Reason.ENDPOINT_LIST_UNCONFIRMED,
                admit(DEDUPLICATED, 2).reason());
        recovery.requestAnswered(new RequestId(1));
        recovery.listReceived(7, 0, now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(AT_MOST_ONCE_WRITE, 2));
    }

    @Test
    void anOlderListFromDiscoveryIsUsedOnlyAfterTheTimeout() {
        recovery.listReceived(4, 0, now);
        assertFalse(recovery.isEndpointListConfirmed());
        assertEquals(7, recovery.endpointListFloor());
        advanceBy(9 * SECOND);
        recovery.listReceived(4, 0, now);
        assertFalse(host.calls.contains("acceptStaleList"));
        advanceBy(2 * SECOND);
        assertTrue(host.calls.contains("acceptStaleList"));
        assertEquals(0, recovery.endpointListFloor());
        recovery.listReceived(4, 0, now);
        assertTrue(recovery.isEndpointListConfirmed());
    }

    @Test
    void writesAndTheHighestPriorityAreServedBeforeReads() {
        changeFleet(recoveringPeer("p2", 7, 8), recoveringPeer("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        recovery.originProbed(true, now);
        assertEquals(RecoveryPhase.SERVE_WRITES, recovery.phase());
        assertEquals(AdmissionDecision.Reason.NOT_YET_SERVED, admit(READ, 1).reason());
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(AT_MOST_ONCE_WRITE, 2));
        completeAtOrigin(lastRequestId, true, 10 * MILLISECOND);
        Set<AdmissionDecision.Reason> reasons = new HashSet<>();
        for (int key = 3; key < 20; key++) {
            reasons.add(admit(HIGH_PRIORITY, key).reason());
            recovery.requestAnswered(new RequestId(lastRequestId));
        }
        assertEquals(
                Set.of(AdmissionDecision.Reason.NONE, AdmissionDecision.Reason.KEY_BEING_FETCHED),
                reasons,
                "each key admitted or fetched by another member");
    }

    @Test
    void theOriginIsProbedBeforeRequestsAreSentToIt() {
        changeFleet(recoveringPeer("p2", 7, 8), recoveringPeer("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        advanceBy(2 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
        assertTrue(host.calls.stream().filter("probeOrigin"::equals).count() >= 4);
        recovery.originProbed(false, now);
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
        recovery.originProbed(true, now);
        assertEquals(RecoveryPhase.SERVE_WRITES, recovery.phase());
    }

    /** Guards against rejected clients that all retry at the same time. */
    @Test
    void rejectedClientsGetDifferentRetryDelays() {
        Set<Long> delays = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            AdmissionDecision decision = admit(READ, i);
            assertEquals(AdmissionDecision.Reason.NOT_YET_SERVED, decision.reason());
            delays.add(decision.retryAfter());
        }
        long shortest = delays.stream().mapToLong(each -> each).min().orElseThrow();
        long longest = delays.stream().mapToLong(each -> each).max().orElseThrow();
        assertTrue(delays.size() > 90 && longest > 2 * shortest, shortest + " to " + longest);
    }

    @Test
    void theOriginLimitGrowsWhileTheOriginIsFastAndIsHalvedWhenItFails() {
        advanceToReads();
        List<Long> inFlight = new ArrayList<>();
        for (int key = 0; key < 100; key++) {
            if (admitKind(HIGH_PRIORITY, key) == AdmissionDecision.Kind.ADMITTED) {
                inFlight.add(lastRequestId);
            }
        }
        assertEquals(1, inFlight.size()); // An initial limit of 8, divided between 5 proxies.
        int initialLimit = recovery.originLimit();
        for (int round = 0; round < 6; round++) {
            inFlight.forEach(request -> completeAtOrigin(request, true, 15 * MILLISECOND));
            inFlight.clear();
            for (int key = 0; key < 100; key++) {
                if (admitKind(HIGH_PRIORITY, 1_000 * (round + 1) + key)
                        == AdmissionDecision.Kind.ADMITTED) {
                    inFlight.add(lastRequestId);
                }
            }
        }
        assertTrue(recovery.originLimit() >= 4 * initialLimit, "limit " + recovery.originLimit());
        int grownLimit = recovery.originLimit();
        completeAtOrigin(inFlight.get(0), false, 300 * MILLISECOND);
        assertTrue(recovery.originLimit() <= grownLimit / 2 + 1, "limit " + recovery.originLimit());
    }

    /** Guards against a proxy whose origin limit grows far above those of the other members. */
    @Test
    void theOriginLimitIsCappedByThoseOfOtherMembers() {
        advanceToReads();
        for (int i = 0; i < 40; i++) {
            admit(HIGH_PRIORITY, i);
            completeAtOrigin(lastRequestId, true, 15 * MILLISECOND);
        }
        assertTrue(recovery.originLimit() > 10);
        changeFleet(
                recoveringPeer("p2", 7, 2),
                recoveringPeer("p3", 7, 2),
                recoveringPeer("p4", 7, 30));
        int admitted = 0;
        for (int key = 500; key < 600; key++) {
            admitted += admitKind(HIGH_PRIORITY, key) == AdmissionDecision.Kind.ADMITTED ? 1 : 0;
        }
        assertEquals(4, admitted);
    }

    /**
     * Guards against outdated limits of other members that throttle a proxy for long: in a fleet of
     * a thousand, members announce their origin limits only once a minute.
     */
    @Test
    void theCapByOtherMembersGrowsWithTime() {
        advanceToReads();
        for (int i = 0; i < 40; i++) {
            admit(HIGH_PRIORITY, i);
            completeAtOrigin(lastRequestId, true, 15 * MILLISECOND);
        }
        int[] admitted = new int[6];
        for (int round = 0; round < 6; round++) {
            assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
            changeFleet(
                    recoveringPeer("p2", 7, 1),
                    recoveringPeer("p3", 7, 1),
                    recoveringPeer("p4", 7, 1));
            List<Long> inFlight = new ArrayList<>();
            for (int key = 0; key < 600; key++) {
                if (admitKind(HIGH_PRIORITY, 1_000 * (round + 1) + key)
                        == AdmissionDecision.Kind.ADMITTED) {
                    inFlight.add(lastRequestId);
                }
            }
            admitted[round] = inFlight.size();
            inFlight.forEach(request -> recovery.requestAnswered(new RequestId(request)));
            advanceBy(SECOND);
        }
        assertTrue(admitted[0] <= 4 && admitted[5] >= 20, admitted[0] + " and " + admitted[5]);
    }

    @Test
    void aKeyThatIsBeingFetchedIsNotFetchedTwice() {
        advanceToReads();
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(HIGH_PRIORITY, 1));
        long first = lastRequestId;
        assertEquals(AdmissionDecision.Reason.KEY_BEING_FETCHED, admit(READ, 1).reason());
        completeAtOrigin(first, true, 15 * MILLISECOND);
        for (int i = 0; i < 50; i++) {
            assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(READ, 1), "the key is cached");
        }
    }

    @Test
    void oneMemberOfAZoneFetchesAKeyAndTheOthersWaitForTheFetch() {
        advanceToReads();
        changeFleet(recoveringPeer("p2", 7, 8), recoveringPeer("p3", 7, 8));
        int admitted = 0;
        int waiting = 0;
        for (int key = 0; key < 300; key++) {
            AdmissionDecision decision = admit(HIGH_PRIORITY, key);
            admitted += decision.kind() == AdmissionDecision.Kind.ADMITTED ? 1 : 0;
            waiting += decision.reason() == AdmissionDecision.Reason.KEY_BEING_FETCHED ? 1 : 0;
            recovery.requestAnswered(new RequestId(lastRequestId));
        }
        assertTrue(
                admitted > 60 && admitted < 140 && admitted + waiting == 300,
                admitted + " admitted, " + waiting + " waiting");
        now += SECOND;
        for (int key = 0; key < 300; key++) {
            assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(HIGH_PRIORITY, key));
            recovery.requestAnswered(new RequestId(lastRequestId));
        }
    }

    @Test
    void aRetryWhoseFirstAttemptMayHaveRunIsFailed() {
        long startedAt = now;
        advanceToReads();
        now = startedAt + SECOND / 2;
        CategoryId category = new CategoryId(AT_MOST_ONCE_WRITE);
        AdmissionDecision sentBeforeStart =
                recovery.admit(
                        new IncomingRequest(
                                new RequestId(++lastRequestId),
                                category,
                                new KeyId(1),
                                true,
                                true,
                                startedAt + SECOND / 2),
                        now);
        assertEquals(AdmissionDecision.Reason.OUTCOME_UNKNOWN, sentBeforeStart.reason());
        assertEquals(AdmissionDecision.Kind.FAILED, sentBeforeStart.kind());
        AdmissionDecision sentAfterStart =
                recovery.admit(
                        new IncomingRequest(
                                new RequestId(++lastRequestId),
                                category,
                                new KeyId(1),
                                true,
                                true,
                                startedAt + 2 * SECOND),
                        now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, sentAfterStart.kind());
        assertEquals(1, recovery.failedAsUnknown());
    }

    /**
     * A node that has not restarted still has the idempotency key of the first attempt; a node that
     * has started since may have lost it.
     */
    @Test
    void aDeduplicatedRetryIsAdmittedOnlyIfNoNodeHasRestartedSince() {
        long startedAt = now;
        advanceToReads();
        IncomingRequest retry =
                new IncomingRequest(
                        new RequestId(++lastRequestId),
                        new CategoryId(DEDUPLICATED),
                        new KeyId(1),
                        true,
                        true,
                        startedAt + SECOND / 2);
        recovery.unconfirmedListUsed(7, startedAt - 100 * SECOND, now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, recovery.admit(retry, now).kind());
        recovery.requestAnswered(retry.id());
        recovery.unconfirmedListUsed(7, startedAt, now);
        assertEquals(AdmissionDecision.Reason.OUTCOME_UNKNOWN, recovery.admit(retry, now).reason());
    }

    @Test
    void recoveryEndsWhenTheOriginLimitRejectsNothing() {
        advanceToReads();
        for (int i = 0; i < 30; i++) {
            advanceBy(SECOND / 10);
            for (int n = 0; n < 5; n++) {
                admit(HIGH_PRIORITY, i);
                completeAtOrigin(lastRequestId, true, 15 * MILLISECOND);
            }
        }
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, admitKind(READ, 99));
    }

    /** Guards against a recovery that never ends because the origin never becomes healthy. */
    @Test
    void recoveryEndsAfterTheMaximumDuration() {
        advanceToReads();
        for (int i = 0; i < 1_200; i++) {
            advanceBy(SECOND / 10);
            admit(READ, i);
            completeAtOrigin(lastRequestId, false, SECOND / 4);
            admit(READ, i);
        }
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
    }

    /**
     * Whatever happens in whatever order, phases never go back and no request is admitted early.
     */
    @Test
    void randomEventsBreakNoInvariant() {
        for (long seed = 1; seed <= 2_000; seed++) {
            runRandomEvents(RandomGeneratorFactory.of("L64X128MixRandom").create(seed), seed);
        }
    }

    private void runRandomEvents(RandomGenerator random, long seed) {
        now = 1_000 * SECOND;
        RecoveryCoordinator coordinator =
                coordinator(random.nextInt(6), random.nextInt(3) == 0 ? 0 : 7);
        RecoveryPhase lastPhase = RecoveryPhase.AWAIT_MEMBERS;
        List<RequestId> inFlight = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            now += random.nextInt(5_000);
            switch (random.nextInt(8)) {
                case 0 -> {
                    List<FleetSnapshot.Peer> peers = new ArrayList<>();
                    for (int i = random.nextInt(6); i > 0; i--) {
                        peers.add(
                                random.nextBoolean()
                                        ? peerWithFullState("p" + (i + 1), random.nextInt(10))
                                        : recoveringPeer(
                                                "p" + (i + 1),
                                                random.nextInt(10),
                                                1 + random.nextInt(20)));
                    }
                    coordinator.fleetChanged(new FleetSnapshot(peers), now);
                }
                case 1 -> coordinator.unconfirmedListUsed(random.nextInt(10), 0, now);
                case 2 ->
                        coordinator.listReceived(
                                random.nextInt(12), now - random.nextInt(100), now);
                case 3 -> coordinator.originProbed(random.nextBoolean(), now);
                case 4 -> coordinator.advance(now);
                case 5 -> {
                    if (!inFlight.isEmpty()) {
                        RequestId request = inFlight.remove(random.nextInt(inFlight.size()));
                        coordinator.attemptEnded(
                                request,
                                random.nextBoolean(),
                                random.nextBoolean(),
                                random.nextInt(3_000),
                                now);
                        coordinator.requestAnswered(request);
                    }
                }
                default -> {
                    int category = random.nextInt(CATEGORIES.size());
                    RequestId request = new RequestId(++lastRequestId);
                    AdmissionDecision decision =
                            coordinator.admit(
                                    new IncomingRequest(
                                            request,
                                            new CategoryId(category),
                                            random.nextInt(9) == 0
                                                    ? null
                                                    : new KeyId(random.nextInt(20)),
                                            category == AT_MOST_ONCE_WRITE,
                                            random.nextBoolean(),
                                            now + random.nextLong(SECOND)),
                                    now);
                    boolean notIdempotent = CATEGORIES.get(category).effect() != Effect.IDEMPOTENT;
                    boolean admitted = decision.kind() == AdmissionDecision.Kind.ADMITTED;
                    assertTrue(
                            !admitted || !notIdempotent || coordinator.isEndpointListConfirmed(),
                            "seed " + seed + ": admitted with an unconfirmed list");
                    assertTrue(
                            !admitted
                                    || coordinator.phase().compareTo(RecoveryPhase.SERVE_WRITES)
                                            >= 0,
                            "seed " + seed + ": admitted too early");
                    assertTrue(
                            decision.kind() != AdmissionDecision.Kind.REJECTED
                                    || decision.retryAfter() > 0,
                            "seed " + seed + ": rejected without a retry delay");
                    if (admitted) {
                        inFlight.add(request);
                    }
                }
            }
            assertTrue(
                    coordinator.phase().compareTo(lastPhase) >= 0,
                    "seed " + seed + ": went back to " + coordinator.phase());
            lastPhase = coordinator.phase();
        }
    }

    @Test
    void eachPartOfThePersistedStateIsValidated() {
        PersistedState persisted =
                new PersistedState(
                        "c",
                        new PersistedState.LoggedState(4, 8, 6, List.of(5L)),
                        new PersistedState.Content(
                                "b",
                                1_000_000,
                                new PersistedState.EndpointList(7, "{}"),
                                List.of(
                                        new PersistedState.Peer("p2", "127.0.0.1:1", 2, 0, true),
                                        new PersistedState.Peer("p3", "127.0.0.1:2", 2, 0, false)),
                                new byte[0],
                                PersistedState.NodeTrust.NONE));
        RestoredState valid = new StateValidator("c", "b", 1_010_000, 60_000).validate(persisted);
        assertEquals(List.of(5L), valid.nodesInMaintenance());
        assertEquals(
                List.of(8L, 6L, 7L, 1L),
                List.of(
                        valid.generation(),
                        valid.epochFloor(),
                        valid.endpointList().version(),
                        (long) valid.livePeers()));
        assertTrue(valid.isNodeTrustUsable());
        // At the first time the snapshot is too old, at the second it is ahead of the clock.
        for (long nowMillis : new long[] {1_061_000, 900_000}) {
            RestoredState unusable =
                    new StateValidator("c", "b", nowMillis, 60_000).validate(persisted);
            assertEquals(List.of(5L), unusable.nodesInMaintenance());
            assertEquals(
                    List.of(8L, 6L, 0L, 0L),
                    List.of(
                            unusable.generation(),
                            unusable.epochFloor(),
                            unusable.endpointList().version(),
                            (long) unusable.livePeers()));
            assertFalse(unusable.isNodeTrustUsable());
        }
        RestoredState ofOtherCluster =
                new StateValidator("d", "b", 1_010_000, 60_000).validate(persisted);
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(
                        ofOtherCluster.generation(),
                        ofOtherCluster.epochFloor(),
                        (long) ofOtherCluster.nodesInMaintenance().size()));
    }
}
