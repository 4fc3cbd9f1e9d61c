package cairnbridge.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.OpId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Group;
import cairnbridge.store.Kept;
import cairnbridge.store.StoreSettings;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** One proxy's return after a loss of power, told as what it sees and what becomes of ops. */
class RecoveryTest {
    private static final long SECOND = 10_000, MILLI = 10;
    private static final int READ = 0, LOAN = 1, DEAR = 2, KEYED = 3;
    private static final List<Category> CATEGORIES =
            List.of(
                    category(Effect.REDELIVERABLE, 1),
                    category(Effect.AT_MOST_ONCE, 2),
                    category(Effect.REDELIVERABLE, 9),
                    category(Effect.DEDUPLICATED, 1));
    private static final RecoverySettings SETTINGS =
            new RecoverySettings(
                    new StoreSettings(Path.of("unused"), "c", 1_000, 1_000_000),
                    3_600 * SECOND,
                    10 * SECOND,
                    8,
                    120 * SECOND);

    private static Category category(Effect effect, double benefit) {
        return new Category(effect, Group.ALL, SECOND, SECOND / 4, 2, SECOND, benefit, 0, false);
    }

    private final class Host implements RecoveryHost {
        final List<String> did = new ArrayList<>();

        @Override
        public void useGuess() {
            did.add("guess");
        }

        @Override
        public void askRoster(String member) {
            did.add("ask " + member);
        }

        @Override
        public void takeOlderList() {
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
    private long now = 1_000 * SECOND, ops;

    /** Four others and version 7 of the list are remembered. */
    private final Recovery recovery = make(4, 7);

    private Recovery make(int peers, long version) {
        Trusted trusted =
                new Trusted(
                        List.of(),
                        3,
                        5,
                        version,
                        version == 0 ? "" : "{}",
                        List.of(),
                        peers,
                        true,
                        List.of());
        return new Recovery(
                SETTINGS,
                trusted,
                CATEGORIES,
                5,
                new MachineKind(1),
                true,
                "p1",
                "a",
                RandomGeneratorFactory.of("L64X128MixRandom").create(1),
                now,
                host);
    }

    private static Sight.Seen returning(String id, long version, int pace) {
        return new Sight.Seen(id, "a", Phase.ROSTER, true, pace, version);
    }

    private static Sight.Seen whole(String id, long version) {
        return new Sight.Seen(id, "a", null, true, 0, version);
    }

    private void sees(Sight.Seen... others) {
        recovery.viewed(new Sight(List.of(others)), now);
    }

    private void passes(long span) {
        for (long left = span; left > 0; left -= 100 * MILLI) {
            now += Math.min(left, 100 * MILLI);
            recovery.turn(now);
        }
    }

    private Verdict arrives(int category, long key) {
        return recovery.arrives(
                new Arrival(
                        new OpId(++ops),
                        new CategoryId(category),
                        new KeyId(key),
                        category == LOAN,
                        false,
                        now + SECOND),
                now);
    }

    private Verdict.Kind kind(int category, long key) {
        return arrives(category, key).kind();
    }

    /** The last op's push to the origin ended, and with it the op. */
    private void served(long op, boolean good, long took) {
        recovery.pushEnded(new OpId(op), true, good, took, now);
        recovery.answered(new OpId(op));
    }

    /** To where reads are let through. */
    private void toReads() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.guessed(7, 0, now);
        recovery.probed(true, now);
        passes(SECOND / 2);
        assertEquals(Phase.READS, recovery.phase());
    }

    @Test
    void aProxyThatMeetsAFleetWithPowerHoldsNothingBack() {
        assertEquals(Verdict.Kind.NACKED, kind(READ, 1));
        sees(whole("p2", 9), whole("p3", 9), whole("p4", 9));
        assertEquals(Phase.ROSTER, recovery.phase());
        recovery.listed(9, 0, now);
        assertEquals(Phase.ALL, recovery.phase());
        assertEquals(Verdict.Kind.TAKEN, kind(READ, 1));
        assertEquals(Verdict.Kind.TAKEN, kind(LOAN, 1));
    }

    /** Guards against a proxy that waits for a discovery which comes back last. */
    @Test
    void aMajorityWithTheSameListConfirmsItWithoutDiscovery() {
        sees(returning("p2", 7, 8));
        passes(3 * SECOND);
        assertEquals(Phase.VIEW, recovery.phase());
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        assertEquals(Phase.ROSTER, recovery.phase());
        assertTrue(host.did.contains("guess"), host.did.toString());
        assertFalse(recovery.isConfirmed());
        recovery.guessed(7, 0, now);
        assertTrue(recovery.isConfirmed());
        assertEquals(Phase.ORIGIN, recovery.phase());
    }

    /** Guards against the oldest list of all, on the proxy that starts first. */
    @Test
    void oneWithAnOlderListAsksForThatOfTheMajority() {
        Recovery old = make(4, 3);
        old.guessed(3, 0, now);
        old.viewed(
                new Sight(
                        List.of(
                                returning("p2", 7, 8),
                                returning("p3", 7, 8),
                                returning("p4", 8, 8))),
                now);
        assertFalse(old.isConfirmed());
        assertTrue(host.did.contains("ask p4"), host.did.toString());
        old.guessed(8, 0, now);
        assertTrue(old.isConfirmed());
    }

    @Test
    void aloneItGoesOnWithCareAndNothingThatMayRunOnce() {
        passes(10 * SECOND);
        assertEquals(Phase.ROSTER, recovery.phase());
        recovery.guessed(7, 0, now);
        passes(10 * SECOND);
        recovery.probed(true, now);
        passes(SECOND);
        assertEquals(Phase.READS, recovery.phase());
        assertEquals(Verdict.Kind.TAKEN, kind(READ, 1));
        assertEquals(Verdict.Why.LIST, arrives(LOAN, 2).why());
        assertEquals(Verdict.Why.LIST, arrives(KEYED, 2).why());
        recovery.answered(new OpId(1));
        recovery.listed(7, 0, now);
        assertEquals(Verdict.Kind.TAKEN, kind(LOAN, 2));
    }

    @Test
    void aListOfDiscoverysThatIsOlderCountsOnlyAfterATime() {
        recovery.listed(4, 0, now);
        assertFalse(recovery.isConfirmed());
        assertEquals(7, recovery.rosterFloor());
        passes(9 * SECOND);
        recovery.listed(4, 0, now);
        assertFalse(host.did.contains("older"));
        passes(2 * SECOND);
        assertTrue(host.did.contains("older"));
        assertEquals(0, recovery.rosterFloor());
        recovery.listed(4, 0, now);
        assertTrue(recovery.isConfirmed());
    }

    @Test
    void writesAndTheDearestClassComeBeforeReads() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.guessed(7, 0, now);
        recovery.probed(true, now);
        assertEquals(Phase.WRITES, recovery.phase());
        assertEquals(Verdict.Why.PHASE, arrives(READ, 1).why());
        assertEquals(Verdict.Kind.TAKEN, kind(LOAN, 2));
        served(ops, true, 10 * MILLI);
        Set<Verdict.Why> why = new HashSet<>();
        for (int key = 3; key < 20; key++) {
            why.add(arrives(DEAR, key).why());
            recovery.answered(new OpId(ops));
        }
        assertEquals(Set.of(Verdict.Why.NONE, Verdict.Why.JOINED), why, "each by its key's opener");
    }

    @Test
    void theOriginIsAskedBeforeAnythingIsSentThere() {
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        recovery.guessed(7, 0, now);
        passes(2 * SECOND);
        assertEquals(Phase.ORIGIN, recovery.phase());
        assertTrue(host.did.stream().filter("probe"::equals).count() >= 4);
        recovery.probed(false, now);
        assertEquals(Phase.ORIGIN, recovery.phase());
        recovery.probed(true, now);
        assertEquals(Phase.WRITES, recovery.phase());
    }

    /** Guards against clients that come back as one wave. */
    @Test
    void whoIsTurnedAwayIsToldAnotherTimeThanTheNext() {
        Set<Long> times = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            Verdict verdict = arrives(READ, i);
            assertEquals(Verdict.Why.PHASE, verdict.why());
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
            if (kind(DEAR, key) == Verdict.Kind.TAKEN) {
                under.add(ops);
            }
        }
        assertEquals(1, under.size()); // Eight among five.
        int before = recovery.pace();
        for (int round = 0; round < 6; round++) {
            under.forEach(op -> served(op, true, 15 * MILLI));
            under.clear();
            for (int key = 0; key < 100; key++) {
                if (kind(DEAR, 1_000 * (round + 1) + key) == Verdict.Kind.TAKEN) {
                    under.add(ops);
                }
            }
        }
        assertTrue(recovery.pace() >= 4 * before, "pace " + recovery.pace());
        int grown = recovery.pace();
        served(under.get(0), false, 300 * MILLI);
        assertTrue(recovery.pace() <= grown / 2 + 1, "pace " + recovery.pace());
    }

    /** Guards against one proxy that opens all while the others have hardly begun. */
    @Test
    void noProxyRunsFarAheadOfTheOthers() {
        toReads();
        for (int i = 0; i < 40; i++) {
            arrives(DEAR, i);
            served(ops, true, 15 * MILLI);
        }
        assertTrue(recovery.pace() > 10);
        sees(returning("p2", 7, 2), returning("p3", 7, 2), returning("p4", 7, 30));
        int taken = 0;
        for (int key = 500; key < 600; key++) {
            taken += kind(DEAR, key) == Verdict.Kind.TAKEN ? 1 : 0;
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
            assertEquals(Phase.READS, recovery.phase());
            sees(returning("p2", 7, 1), returning("p3", 7, 1), returning("p4", 7, 1));
            List<Long> under = new ArrayList<>();
            for (int key = 0; key < 600; key++) {
                if (kind(DEAR, 1_000 * (round + 1) + key) == Verdict.Kind.TAKEN) {
                    under.add(ops);
                }
            }
            taken[round] = under.size();
            under.forEach(op -> recovery.answered(new OpId(op)));
            passes(SECOND);
        }
        assertTrue(taken[0] <= 4 && taken[5] >= 20, taken[0] + " and " + taken[5]);
    }

    @Test
    void aKeyThatIsBeingFetchedIsNotFetchedTwice() {
        toReads();
        assertEquals(Verdict.Kind.TAKEN, kind(DEAR, 1));
        long first = ops;
        assertEquals(Verdict.Why.JOINED, arrives(READ, 1).why());
        served(first, true, 15 * MILLI);
        for (int i = 0; i < 50; i++) {
            assertEquals(Verdict.Kind.TAKEN, kind(READ, 1), "it is in its cache now");
        }
    }

    @Test
    void oneMemberOfAZoneFetchesAKeyAndTheOthersWaitAsLongAsThatTakes() {
        toReads();
        sees(returning("p2", 7, 8), returning("p3", 7, 8));
        int mine = 0;
        int waits = 0;
        for (int key = 0; key < 300; key++) {
            Verdict verdict = arrives(DEAR, key);
            mine += verdict.kind() == Verdict.Kind.TAKEN ? 1 : 0;
            waits += verdict.why() == Verdict.Why.JOINED ? 1 : 0;
            recovery.answered(new OpId(ops));
        }
        assertTrue(
                mine > 60 && mine < 140 && mine + waits == 300,
                mine + " mine, " + waits + " waited");
        now += SECOND;
        for (int key = 0; key < 300; key++) {
            assertEquals(Verdict.Kind.TAKEN, kind(DEAR, key));
            recovery.answered(new OpId(ops));
        }
    }

    @Test
    void aRepeatWhoseFirstTryTheLossMayHideIsNotPushedAgain() {
        long began = now;
        toReads();
        now = began + SECOND / 2;
        CategoryId loan = new CategoryId(LOAN);
        Verdict hidden =
                recovery.arrives(
                        new Arrival(
                                new OpId(++ops),
                                loan,
                                new KeyId(1),
                                true,
                                true,
                                began + SECOND / 2),
                        now);
        assertEquals(Verdict.Why.HIDDEN, hidden.why());
        assertEquals(Verdict.Kind.DEAD_LETTERED, hidden.kind());
        Verdict fresh =
                recovery.arrives(
                        new Arrival(
                                new OpId(++ops),
                                loan,
                                new KeyId(1),
                                true,
                                true,
                                began + 2 * SECOND),
                        now);
        assertEquals(Verdict.Kind.TAKEN, fresh.kind());
        assertEquals(1, recovery.hidden());
    }

    /** A node that kept its marks knows the first try; one that started since does not. */
    @Test
    void aDeduplicatedRepeatGoesOnlyWhereTheMarksAreKept() {
        long began = now;
        toReads();
        Arrival repeat =
                new Arrival(
                        new OpId(++ops),
                        new CategoryId(KEYED),
                        new KeyId(1),
                        true,
                        true,
                        began + SECOND / 2);
        recovery.guessed(7, began - 100 * SECOND, now);
        assertEquals(Verdict.Kind.TAKEN, recovery.arrives(repeat, now).kind());
        recovery.answered(repeat.op());
        recovery.guessed(7, began, now);
        assertEquals(Verdict.Why.HIDDEN, recovery.arrives(repeat, now).why());
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
        assertEquals(Phase.ALL, recovery.phase());
        assertEquals(Verdict.Kind.TAKEN, kind(READ, 99));
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
        assertEquals(Phase.ALL, recovery.phase());
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
        Recovery one = make(chance.nextInt(6), chance.nextInt(3) == 0 ? 0 : 7);
        Phase last = Phase.VIEW;
        List<OpId> under = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            now += chance.nextInt(5_000);
            switch (chance.nextInt(8)) {
                case 0 -> {
                    List<Sight.Seen> others = new ArrayList<>();
                    for (int i = chance.nextInt(6); i > 0; i--) {
                        others.add(
                                chance.nextBoolean()
                                        ? whole("p" + (i + 1), chance.nextInt(10))
                                        : returning(
                                                "p" + (i + 1),
                                                chance.nextInt(10),
                                                1 + chance.nextInt(20)));
                    }
                    one.viewed(new Sight(others), now);
                }
                case 1 -> one.guessed(chance.nextInt(10), 0, now);
                case 2 -> one.listed(chance.nextInt(12), now - chance.nextInt(100), now);
                case 3 -> one.probed(chance.nextBoolean(), now);
                case 4 -> one.turn(now);
                case 5 -> {
                    if (!under.isEmpty()) {
                        OpId op = under.remove(chance.nextInt(under.size()));
                        one.pushEnded(
                                op,
                                chance.nextBoolean(),
                                chance.nextBoolean(),
                                chance.nextInt(3_000),
                                now);
                        one.answered(op);
                    }
                }
                default -> {
                    int category = chance.nextInt(CATEGORIES.size());
                    OpId op = new OpId(++ops);
                    Verdict verdict =
                            one.arrives(
                                    new Arrival(
                                            op,
                                            new CategoryId(category),
                                            chance.nextInt(9) == 0
                                                    ? null
                                                    : new KeyId(chance.nextInt(20)),
                                            category == LOAN,
                                            chance.nextBoolean(),
                                            now + chance.nextLong(SECOND)),
                                    now);
                    boolean once = CATEGORIES.get(category).effect() != Effect.REDELIVERABLE;
                    boolean taken = verdict.kind() == Verdict.Kind.TAKEN;
                    assertTrue(
                            !taken || !once || one.isConfirmed(), "seed " + seed + ": by a guess");
                    assertTrue(
                            !taken || one.phase().compareTo(Phase.WRITES) >= 0,
                            "seed " + seed + ": early");
                    assertTrue(
                            verdict.kind() != Verdict.Kind.NACKED || verdict.retryAfter() > 0,
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
        Kept kept =
                new Kept(
                        "c",
                        8,
                        "b",
                        1_000_000,
                        4,
                        7,
                        "{}",
                        List.of(
                                new Kept.Peer("p2", "127.0.0.1:1", 2, 0, true),
                                new Kept.Peer("p3", "127.0.0.1:2", 2, 0, false)),
                        6,
                        null,
                        0,
                        0,
                        0,
                        List.of(),
                        List.of(5L));
        Trusted good = Trust.judge(kept, "c", "b", 1_010_000, 60_000);
        assertEquals(List.of(5L), good.held());
        assertEquals(
                List.of(8L, 6L, 7L, 1L),
                List.of(good.life(), good.epochFloor(), good.rosterVersion(), (long) good.peers()));
        assertTrue(good.trust());
        for (long clock : new long[] {1_061_000, 900_000}) { // Too old, and of the future.
            Trusted part = Trust.judge(kept, "c", "b", clock, 60_000);
            assertEquals(List.of(5L), part.held());
            assertEquals(
                    List.of(8L, 6L, 0L, 0L),
                    List.of(
                            part.life(),
                            part.epochFloor(),
                            part.rosterVersion(),
                            (long) part.peers()));
            assertFalse(part.trust());
        }
        Trusted other = Trust.judge(kept, "d", "b", 1_010_000, 60_000);
        assertEquals(
                List.of(0L, 0L, 0L),
                List.of(other.life(), other.epochFloor(), (long) other.held().size()));
    }
}
