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

/** One proxy's return after a loss of power, told as what it sees and what becomes of ops. */
class RecoveryCoordinatorTest {
    private static final long SECOND = 10_000;
    private static final long MILLI = 10;
    private static final int READ = 0;
    private static final int LOAN = 1;
    private static final int DEAR = 2;
    private static final int KEYED = 3;
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

    private static Category category(Effect effect, double benefit) {
        return new Category(
                effect,
                DeduplicationScope.ALL_NODES,
                SECOND,
                SECOND / 4,
                2,
                SECOND,
                benefit,
                0,
                false);
    }

    private static final class Host implements RecoveryHost {
        final List<String> did = new ArrayList<>();

        @Override
        public void usePersistedList() {
            did.add("guess");
        }

        @Override
        public void requestEndpointList(String member) {
            did.add("ask " + member);
        }

        @Override
        public void acceptStaleList() {
            did.add("older");
        }

        @Override
        public void probeOrigin() {
            did.add("probe");
        }

        @Override
        public void log(String line) {
            did.add(line);
        }
    }

    private final Host host = new Host();
    private long now = 1_000 * SECOND;
    private long ops;

    /** Four others and version 7 of the list are remembered. */
    private final RecoveryCoordinator recovery = make(4, 7);

    private RecoveryCoordinator make(int peers, long version) {
        RestoredState trusted =
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
                trusted,
                new RecoveryCoordinator.Deployment(
                        CATEGORIES, 5, new MachineKind(1), true, "p1", "a"),
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                now,
                host);
    }

    private static FleetSnapshot.Peer returning(String id, long version, int pace) {
        return new FleetSnapshot.Peer(
                id, "a", Optional.of(RecoveryPhase.AWAIT_ENDPOINT_LIST), true, pace, version);
    }

    private static FleetSnapshot.Peer whole(String id, long version) {
        return new FleetSnapshot.Peer(id, "a", Optional.empty(), true, 0, version);
    }

    private void sees(FleetSnapshot.Peer... others) {
        recovery.fleetChanged(new FleetSnapshot(List.of(others)), now);
    }

    private void passes(long span) {
        for (long left = span; left > 0; left -= 100 * MILLI) {
            now += Math.min(left, 100 * MILLI);
            recovery.advance(now);
        }
    }

    private AdmissionDecision arrives(int category, long key) {
        return recovery.admit(
                new IncomingRequest(
                        new RequestId(++ops),
                        new CategoryId(category),
                        new KeyId(key),
                        category == LOAN,
                        false,
                        now + SECOND),
                now);
    }

    private AdmissionDecision.Kind kind(int category, long key) {
        return arrives(category, key).kind();
    }

    /** The last op's push to the origin ended, and with it the op. */
    private void served(long op, boolean good, long took) {
        recovery.attemptEnded(new RequestId(op), true, good, took, now);
        recovery.requestAnswered(new RequestId(op));
    }

    /** To where reads are let through. */
    private void toReads() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        recovery.originProbed(true, now);
        passes(SECOND / 2);
        assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
    }

    @Test
    void aProxyThatMeetsAFleetWithPowerHoldsNothingBack() {
        assertEquals(AdmissionDecision.Kind.REJECTED, kind(READ, 1));
        sees(whole("p2", 9), whole("p3", 9), whole("p4", 9));
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        recovery.listReceived(9, 0, now);
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(READ, 1));
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(LOAN, 1));
    }

    /** Guards against a proxy that waits for a discovery which comes back last. */
    @Test
    void aMajorityWithTheSameListConfirmsItWithoutDiscovery() {
        sees(returning("p2", 7, 8));
        passes(3 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_MEMBERS, recovery.phase());
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        assertTrue(host.did.contains("guess"), host.did.toString());
        assertFalse(recovery.isEndpointListConfirmed());
        recovery.unconfirmedListUsed(7, 0, now);
        assertTrue(recovery.isEndpointListConfirmed());
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
    }

    /** Guards against the oldest list of all, on the proxy that starts first. */
    @Test
    void oneWithAnOlderListAsksForThatOfTheMajority() {
        RecoveryCoordinator old = make(4, 3);
        old.unconfirmedListUsed(3, 0, now);
        old.fleetChanged(
                new FleetSnapshot(
                        List.of(
                                returning("p2", 7, 8),
                                returning("p3", 7, 8),
                                returning("p4", 8, 8))),
                now);
        assertFalse(old.isEndpointListConfirmed());
        assertTrue(host.did.contains("ask p4"), host.did.toString());
        old.unconfirmedListUsed(8, 0, now);
        assertTrue(old.isEndpointListConfirmed());
    }

    @Test
    void aloneItGoesOnWithCareAndNothingThatMayRunOnce() {
        passes(10 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_ENDPOINT_LIST, recovery.phase());
        recovery.unconfirmedListUsed(7, 0, now);
        passes(10 * SECOND);
        recovery.originProbed(true, now);
        passes(SECOND);
        assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(READ, 1));
        assertEquals(AdmissionDecision.Reason.ENDPOINT_LIST_UNCONFIRMED, arrives(LOAN, 2).reason());
        assertEquals(
                AdmissionDecision.Reason.ENDPOINT_LIST_UNCONFIRMED, arrives(KEYED, 2).reason());
        recovery.requestAnswered(new RequestId(1));
        recovery.listReceived(7, 0, now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(LOAN, 2));
    }

    @Test
    void aListOfDiscoverysThatIsOlderCountsOnlyAfterATime() {
        recovery.listReceived(4, 0, now);
        assertFalse(recovery.isEndpointListConfirmed());
        assertEquals(7, recovery.endpointListFloor());
        passes(9 * SECOND);
        recovery.listReceived(4, 0, now);
        assertFalse(host.did.contains("older"));
        passes(2 * SECOND);
        assertTrue(host.did.contains("older"));
        assertEquals(0, recovery.endpointListFloor());
        recovery.listReceived(4, 0, now);
        assertTrue(recovery.isEndpointListConfirmed());
    }

    @Test
    void writesAndTheDearestClassComeBeforeReads() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        recovery.originProbed(true, now);
        assertEquals(RecoveryPhase.SERVE_WRITES, recovery.phase());
        assertEquals(AdmissionDecision.Reason.NOT_YET_SERVED, arrives(READ, 1).reason());
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(LOAN, 2));
        served(ops, true, 10 * MILLI);
        Set<AdmissionDecision.Reason> why = new HashSet<>();
        for (int key = 3; key < 20; key++) {
            why.add(arrives(DEAR, key).reason());
            recovery.requestAnswered(new RequestId(ops));
        }
        assertEquals(
                Set.of(AdmissionDecision.Reason.NONE, AdmissionDecision.Reason.KEY_BEING_FETCHED),
                why,
                "each by its key's opener");
    }

    @Test
    void theOriginIsAskedBeforeAnythingIsSentThere() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.unconfirmedListUsed(7, 0, now);
        passes(2 * SECOND);
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
        assertTrue(host.did.stream().filter("probe"::equals).count() >= 4);
        recovery.originProbed(false, now);
        assertEquals(RecoveryPhase.AWAIT_ORIGIN, recovery.phase());
        recovery.originProbed(true, now);
        assertEquals(RecoveryPhase.SERVE_WRITES, recovery.phase());
    }

    /** Guards against clients that come back as one wave. */
    @Test
    void whoIsTurnedAwayIsToldAnotherTimeThanTheNext() {
        Set<Long> times = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            AdmissionDecision verdict = arrives(READ, i);
            assertEquals(AdmissionDecision.Reason.NOT_YET_SERVED, verdict.reason());
            times.add(verdict.retryAfter());
        }
        long least = times.stream().mapToLong(each -> each).min().orElseThrow();
        long most = times.stream().mapToLong(each -> each).max().orElseThrow();
        assertTrue(times.size() > 90 && most > 2 * least, least + " to " + most);
    }

    @Test
    void readsGoToTheOriginFewAtATimeAndMoreWhileItIsInTime() {
        toReads();
        List<Long> under = new ArrayList<>();
        for (int key = 0; key < 100; key++) {
            if (kind(DEAR, key) == AdmissionDecision.Kind.ADMITTED) {
                under.add(ops);
            }
        }
        assertEquals(1, under.size()); // Eight among five.
        int before = recovery.originLimit();
        for (int round = 0; round < 6; round++) {
            under.forEach(op -> served(op, true, 15 * MILLI));
            under.clear();
            for (int key = 0; key < 100; key++) {
                if (kind(DEAR, 1_000 * (round + 1) + key) == AdmissionDecision.Kind.ADMITTED) {
                    under.add(ops);
                }
            }
        }
        assertTrue(recovery.originLimit() >= 4 * before, "pace " + recovery.originLimit());
        int grown = recovery.originLimit();
        served(under.get(0), false, 300 * MILLI);
        assertTrue(recovery.originLimit() <= grown / 2 + 1, "pace " + recovery.originLimit());
    }

    /** Guards against one proxy that opens all while the others have hardly begun. */
    @Test
    void noProxyRunsFarAheadOfTheOthers() {
        toReads();
        for (int i = 0; i < 40; i++) {
            arrives(DEAR, i);
            served(ops, true, 15 * MILLI);
        }
        assertTrue(recovery.originLimit() > 10);
        sees(returning("p2", 7, 2), returning("p3", 7, 2), returning("p4", 7, 30));
        int taken = 0;
        for (int key = 500; key < 600; key++) {
            taken += kind(DEAR, key) == AdmissionDecision.Kind.ADMITTED ? 1 : 0;
        }
        assertEquals(4, taken);
    }

    /** Guards against a fleet of a thousand, whose members tell their pace once a minute. */
    @Test
    void whatOthersToldLongAgoHoldsNobodyBackForLong() {
        toReads();
        for (int i = 0; i < 40; i++) {
            arrives(DEAR, i);
            served(ops, true, 15 * MILLI);
        }
        int[] taken = new int[6];
        for (int round = 0; round < 6; round++) {
            assertEquals(RecoveryPhase.SERVE_READS, recovery.phase());
            sees(returning("p2", 7, 1), returning("p3", 7, 1), returning("p4", 7, 1));
            List<Long> under = new ArrayList<>();
            for (int key = 0; key < 600; key++) {
                if (kind(DEAR, 1_000 * (round + 1) + key) == AdmissionDecision.Kind.ADMITTED) {
                    under.add(ops);
                }
            }
            taken[round] = under.size();
            under.forEach(op -> recovery.requestAnswered(new RequestId(op)));
            passes(SECOND);
        }
        assertTrue(taken[0] <= 4 && taken[5] >= 20, taken[0] + " and " + taken[5]);
    }

    @Test
    void aKeyThatIsBeingFetchedIsNotFetchedTwice() {
        toReads();
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(DEAR, 1));
        long first = ops;
        assertEquals(AdmissionDecision.Reason.KEY_BEING_FETCHED, arrives(READ, 1).reason());
        served(first, true, 15 * MILLI);
        for (int i = 0; i < 50; i++) {
            assertEquals(AdmissionDecision.Kind.ADMITTED, kind(READ, 1), "it is in its cache now");
        }
    }

    @Test
    void oneMemberOfAZoneFetchesAKeyAndTheOthersWaitAsLongAsThatTakes() {
        toReads();
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        int mine = 0;
        int waits = 0;
        for (int key = 0; key < 300; key++) {
            AdmissionDecision verdict = arrives(DEAR, key);
            mine += verdict.kind() == AdmissionDecision.Kind.ADMITTED ? 1 : 0;
            waits += verdict.reason() == AdmissionDecision.Reason.KEY_BEING_FETCHED ? 1 : 0;
            recovery.requestAnswered(new RequestId(ops));
        }
        assertTrue(
                mine > 60 && mine < 140 && mine + waits == 300,
                mine + " mine, " + waits + " waited");
        now += SECOND;
        for (int key = 0; key < 300; key++) {
            assertEquals(AdmissionDecision.Kind.ADMITTED, kind(DEAR, key));
            recovery.requestAnswered(new RequestId(ops));
        }
    }

    @Test
    void aRepeatWhoseFirstTryTheLossMayHideIsNotPushedAgain() {
        long began = now;
        toReads();
        now = began + SECOND / 2;
        CategoryId loan = new CategoryId(LOAN);
        AdmissionDecision hidden =
                recovery.admit(
                        new IncomingRequest(
                                new RequestId(++ops),
                                loan,
                                new KeyId(1),
                                true,
                                true,
                                began + SECOND / 2),
                        now);
        assertEquals(AdmissionDecision.Reason.OUTCOME_UNKNOWN, hidden.reason());
        assertEquals(AdmissionDecision.Kind.FAILED, hidden.kind());
        AdmissionDecision fresh =
                recovery.admit(
                        new IncomingRequest(
                                new RequestId(++ops),
                                loan,
                                new KeyId(1),
                                true,
                                true,
                                began + 2 * SECOND),
                        now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, fresh.kind());
        assertEquals(1, recovery.failedAsUnknown());
    }

    /** A node that kept its marks knows the first try; one that started since does not. */
    @Test
    void aDeduplicatedRepeatGoesOnlyWhereTheMarksAreKept() {
        long began = now;
        toReads();
        IncomingRequest repeat =
                new IncomingRequest(
                        new RequestId(++ops),
                        new CategoryId(KEYED),
                        new KeyId(1),
                        true,
                        true,
                        began + SECOND / 2);
        recovery.unconfirmedListUsed(7, began - 100 * SECOND, now);
        assertEquals(AdmissionDecision.Kind.ADMITTED, recovery.admit(repeat, now).kind());
        recovery.requestAnswered(repeat.id());
        recovery.unconfirmedListUsed(7, began, now);
        assertEquals(
                AdmissionDecision.Reason.OUTCOME_UNKNOWN, recovery.admit(repeat, now).reason());
    }

    @Test
    void theReturnIsOverWhenNothingIsHeldBackAnyMore() {
        toReads();
        for (int i = 0; i < 30; i++) {
            passes(SECOND / 10);
            for (int n = 0; n < 5; n++) {
                arrives(DEAR, i);
                served(ops, true, 15 * MILLI);
            }
        }
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
        assertEquals(AdmissionDecision.Kind.ADMITTED, kind(READ, 99));
    }

    /** Guards against a pace that is kept for ever, where an origin never gets well. */
    @Test
    void itOpensAtTheLatestAfterItsTime() {
        toReads();
        for (int i = 0; i < 1_200; i++) {
            passes(SECOND / 10);
            arrives(READ, i);
            served(ops, false, SECOND / 4);
            arrives(READ, i);
        }
        assertEquals(RecoveryPhase.SERVE_ALL, recovery.phase());
    }

    /** Whatever happens in whatever order: the rules that no course may break. */
    @Test
    void noCourseBreaksTheRules() {
        for (long seed = 1; seed <= 2_000; seed++) {
            course(RandomGeneratorFactory.of("L64X128MixRandom").create(seed), seed);
        }
    }

    private void course(RandomGenerator chance, long seed) {
        now = 1_000 * SECOND;
        RecoveryCoordinator one = make(chance.nextInt(6), chance.nextInt(3) == 0 ? 0 : 7);
        RecoveryPhase last = RecoveryPhase.AWAIT_MEMBERS;
        List<RequestId> under = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            now += chance.nextInt(5_000);
            switch (chance.nextInt(8)) {
                case 0 -> {
                    List<FleetSnapshot.Peer> others = new ArrayList<>();
                    for (int i = chance.nextInt(6); i > 0; i--) {
                        others.add(
                                chance.nextBoolean()
                                        ? whole("p" + (i + 1), chance.nextInt(10))
                                        : returning(
                                                "p" + (i + 1),
                                                chance.nextInt(10),
                                                1 + chance.nextInt(20)));
                    }
                    one.fleetChanged(new FleetSnapshot(others), now);
                }
                case 1 -> one.unconfirmedListUsed(chance.nextInt(10), 0, now);
                case 2 -> one.listReceived(chance.nextInt(12), now - chance.nextInt(100), now);
                case 3 -> one.originProbed(chance.nextBoolean(), now);
                case 4 -> one.advance(now);
                case 5 -> {
                    if (!under.isEmpty()) {
                        RequestId op = under.remove(chance.nextInt(under.size()));
                        one.attemptEnded(
                                op,
                                chance.nextBoolean(),
                                chance.nextBoolean(),
                                chance.nextInt(3_000),
                                now);
                        one.requestAnswered(op);
                    }
                }
                default -> {
                    int category = chance.nextInt(CATEGORIES.size());
                    RequestId op = new RequestId(++ops);
                    AdmissionDecision verdict =
                            one.admit(
                                    new IncomingRequest(
                                            op,
                                            new CategoryId(category),
                                            chance.nextInt(9) == 0
                                                    ? null
                                                    : new KeyId(chance.nextInt(20)),
                                            category == LOAN,
                                            chance.nextBoolean(),
                                            now + chance.nextLong(SECOND)),
                                    now);
                    boolean once = CATEGORIES.get(category).effect() != Effect.IDEMPOTENT;
                    boolean taken = verdict.kind() == AdmissionDecision.Kind.ADMITTED;
                    assertTrue(
                            !taken || !once || one.isEndpointListConfirmed(),
                            "seed " + seed + ": by a guess");
                    assertTrue(
                            !taken || one.phase().compareTo(RecoveryPhase.SERVE_WRITES) >= 0,
                            "seed " + seed + ": early");
                    assertTrue(
                            verdict.kind() != AdmissionDecision.Kind.REJECTED
                                    || verdict.retryAfter() > 0,
                            "seed " + seed + ": told to come at once");
                    if (taken) {
                        under.add(op);
                    }
                }
            }
            assertTrue(
                    one.phase().compareTo(last) >= 0, "seed " + seed + ": back to " + one.phase());
            last = one.phase();
        }
    }

    @Test
    void whatIsTrustedItemByItem() {
        PersistedState kept =
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
        RestoredState good = new StateValidator("c", "b", 1_010_000, 60_000).validate(kept);
        assertEquals(List.of(5L), good.nodesInMaintenance());
        assertEquals(
                List.of(8L, 6L, 7L, 1L),
                List.of(
                        good.generation(),
                        good.epochFloor(),
                        good.endpointList().version(),
                        (long) good.livePeers()));
        assertTrue(good.isNodeTrustUsable());
        for (long clock : new long[] {1_061_000, 900_000}) { // Too old, and of the future.
            RestoredState part = new StateValidator("c", "b", clock, 60_000).validate(kept);
            assertEquals(List.of(5L), part.nodesInMaintenance());
            assertEquals(
                    List.of(8L, 6L, 0L, 0L),
                    List.of(
                            part.generation(),
                            part.epochFloor(),
                            part.endpointList().version(),
                            (long) part.livePeers()));
            assertFalse(part.isNodeTrustUsable());
        }
        RestoredState other = new StateValidator("d", "b", 1_010_000, 60_000).validate(kept);
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(
                        other.generation(),
                        other.epochFloor(),
                        (long) other.nodesInMaintenance().size()));
    }
}
