package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.ORIGIN;
import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.entry;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Tenant;
import java.lang.ref.WeakReference;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** One short story for each rule and for each failure met. */
class RouterTest {
    @Test
    void aKeyStaysWithItsNodeAndSpillsOnlyOverTheCap() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8);
        long home = host.op(1, 77, SECOND).lastNode();
        assertEquals(home, host.op(2, 77, SECOND).lastNode());
        long spilled = host.op(3, 77, SECOND).lastNode();
        assertNotEquals(home, spilled, "two are in flight there, the floor of the cap");
        host.ends(host.pushes.get(0), AttemptOutcome.SUCCESS, 10);
        assertEquals(home, host.op(4, 77, SECOND).lastNode());
    }

    /** Guards against a list that speaks for a node that staff have taken out. */
    @ParameterizedTest
    @CsvSource({"READY", "DRAINING", "GONE"})
    void aNodeTakenOutGetsNothingWhateverTheListSaysAndComesBackCold(NodeState meanwhile) {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        long home = host.op(1, 77, SECOND).lastNode();
        host.ends(AttemptOutcome.SUCCESS, 1).held(home, true).held(home, true);
        host.pass(SECOND)
                .changed(entry(home, meanwhile, 0))
                .changed(entry(home, NodeState.READY, 0));
        for (long key = 100; key < 160; key++) {
            assertNotEquals(home, host.op(key, key, SECOND).lastNode());
            host.ends(AttemptOutcome.SUCCESS, 1);
        }
        host.pass(SECOND);
        assertEquals(1, host.avoided);
        host.held(home, false).pass(SECOND);
        assertEquals(0, host.avoided);
        int there = 0;
        for (long key = 200; key < 260; key++) {
            there += host.op(key, key, SECOND).lastNode() == home ? 1 : 0;
            host.ends(AttemptOutcome.SUCCESS, 1);
        }
        assertTrue(there > 0 && there < 10, there + " of 60 met a node that may be cold");
    }

    /**
     * Guards against ops held towards their TTL for a fetch whose long answer is still being read.
     */
    @Test
    void whoWaitsForAFetchAsksTheCacheOnceItsAnswerHasBegun() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        long home = host.op(1, 77, SECOND).lastNode();
        host.ends(AttemptOutcome.CACHE_MISS, 1).op(2, 77, SECOND);
        assertEquals(ORIGIN, host.lastNode());
        host.tell(new Event.StreamingStarted(new RequestId(1), 1, new NodeId(ORIGIN), 10));
        assertEquals(home, host.lastNode());
        assertEquals(3, host.pushes.size());
    }

    @Test
    void anOriginTakenOutIsNotAsked() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(2).held(ORIGIN, true);
        host.op(1, 77, SECOND).ends(AttemptOutcome.CACHE_MISS, 1);
        assertEquals(List.of("nack 1"), host.answers);
    }

    @Test
    void aNodeThatIsGoneIsForgotten() throws InterruptedException {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(2);
        WeakReference<Object> id = host.comesAndGoes(5000);
        for (int turn = 0; id.get() != null && turn < 50; turn++) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(id.get());
    }

    @Test
    void aLostNodeMovesOnlyItsOwnKeys() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(6);
        Map<Long, Long> homes = new HashMap<>();
        for (long key = 0; key < 200; key++) {
            homes.put(key, host.op(key, key, SECOND).lastNode());
            host.ends(AttemptOutcome.SUCCESS, 1);
        }
        host.changed(entry(3, NodeState.GONE, 0));
        for (long key = 0; key < 200; key++) {
            long node = host.op(1000 + key, key, SECOND).lastNode();
            host.ends(AttemptOutcome.SUCCESS, 1);
            if (homes.get(key) == 3) {
                assertNotEquals(3, node);
            } else {
                assertEquals(homes.get(key), node);
            }
        }
    }

    @Test
    void aFleetThatDoublesHalvesAndComesBackKeepsItsHomes() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(300);
        List<Long> before = homes(host, 0);
        host.listed(600);
        List<Long> grown = homes(host, 1000);
        assertTrue(grown.stream().allMatch(n -> n > 300 || before.contains(n)));
        host.listed(300);
        assertEquals(before, homes(host, 2000), "points of nodes that stay do not move");
    }

    private static List<Long> homes(FakeHost host, long firstOp) {
        List<Long> homes = new ArrayList<>();
        for (long key = 0; key < 40; key++) {
            homes.add(host.op(firstOp + key, key, SECOND).lastNode());
            host.ends(AttemptOutcome.SUCCESS, 1);
        }
        return homes;
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void anOpNobodyAnswersIsAnsweredOnceBeforeItsTtl(Effect effect) {
        FakeHost host = new FakeHost(effect).listed(3);
        host.op(1, 5, SECOND).pass(SECOND - 1);
        assertEquals(1, host.answers.size());
        int sent = host.pushes.size();
        host.ends(host.pushes.get(0), AttemptOutcome.TIMED_OUT, 1).pass(SECOND);
        assertEquals(1, host.answers.size());
        assertEquals(sent, host.pushes.size(), "nothing is sent after the answer");
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, nack 1", "DEDUPLICATED, dead 1", "AT_MOST_ONCE, dead 1"})
    void anOpOutAtItsTtlIsNackedOnlyWhereComingBackLaterIsHarmless(Effect effect, String answer) {
        FakeHost host = new FakeHost(effect).listed(3);
        host.op(1, 5, SECOND).pass(SECOND);
        assertEquals(
                List.of(answer),
                host.answers,
                "advised to come back after a repeat may be forgotten");
    }

    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE, ERROR, false", "AT_MOST_ONCE, CONNECTION_LOST, false",
                "AT_MOST_ONCE, TIMED_OUT, false",
        "AT_MOST_ONCE, OVERLOADED, true", "AT_MOST_ONCE, CONNECT_FAILED, true",
                "IDEMPOTENT, ERROR, true",
        "DEDUPLICATED, ERROR, true"
    })
    void aFurtherPushNeedsProofOrARepeatableEffect(
            Effect effect, AttemptOutcome ending, boolean again) {
        FakeHost host = new FakeHost(effect).listed(3);
        host.op(1, 5, SECOND).ends(ending, 10);
        assertEquals(again ? 2 : 1, host.pushes.size());
        assertEquals(again ? List.of() : List.of("dead 1"), host.answers);
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void aDeduplicatedOpStaysInItsGroup(DeduplicationScope group) {
        FakeHost host = new FakeHost(Effect.DEDUPLICATED, group, false).listed(1);
        host.changed(entry(2, NodeState.READY, 0), entry(ORIGIN, NodeState.GONE, 0));
        host.op(1, 5, SECOND).ends(AttemptOutcome.CONNECTION_LOST, 10);
        boolean all = group == DeduplicationScope.ALL_NODES;
        assertEquals(all ? 2 : 1, host.pushes.size(), "the other node is of another zone and cell");
        assertEquals(
                all ? List.of() : List.of("dead 1"), host.answers, "a nack would promise too much");
    }

    @Test
    void aDeduplicatedOpIsNotRepeatedOnceItMayBeForgotten() {
        FakeHost host = new FakeHost(Effect.DEDUPLICATED).listed(3);
        host.op(1, 5, 2 * SECOND).ends(AttemptOutcome.CONNECTION_LOST, SECOND);
        assertEquals(1, host.pushes.size());
    }

    /**
     * Guards against a further push that begins, after a dial, when the node may have forgotten the
     * first.
     */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 20000", "AT_MOST_ONCE, 20000", "DEDUPLICATED, 10000"})
    void aPushIsToldUntilWhenItMayBegin(Effect effect, long further) {
        FakeHost host = new FakeHost(effect).listed(3);
        long start = host.clock;
        long tick = 10;
        AttemptOutcome first =
                effect == Effect.AT_MOST_ONCE
                        ? AttemptOutcome.CONNECT_FAILED
                        : AttemptOutcome.CONNECTION_LOST;
        host.op(1, 5, 2 * SECOND).ends(first, 10);
        assertEquals(List.of(start + 2 * SECOND - tick, start + further - tick), host.latestBegins);
    }

    /**
     * Guards against an op that outlasts its process: what was taken is answered before that ends.
     */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, nack 1", "AT_MOST_ONCE, dead 1"})
    void aProxyThatIsToEndAnswersWhatItHasBeforeThen(Effect effect, String answer) {
        FakeHost host = new FakeHost(effect).listed(3).op(1, 5, 2 * SECOND).op(2, 6, SECOND / 10);
        host.tell(new Event.ShutdownScheduled(host.clock + SECOND));
        host.pass(SECOND - 1);
        assertEquals(
                answer, host.answers.get(host.answers.size() - 1), "the second had its own TTL");
        assertEquals(2, host.answers.size());
        host.pass(2 * SECOND);
        assertEquals(2, host.answers.size(), "one answer an op");
    }

    @Test
    void aKeyHotterThanACacheSpreadsThoughNoCapIsReached() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8);
        Set<Long> used = new HashSet<>();
        for (long op = 0; op < 400; op++) {
            host.op(op, op % 2 == 0 ? 5 : op, SECOND);
            if (op % 2 == 0 && op > 200) {
                used.add(host.lastNode());
            }
            host.ends(AttemptOutcome.SUCCESS, 20);
        }
        assertTrue(
                used.size() >= 4, "one key is half the traffic of eight caches, yet met " + used);
    }

    @Test
    void aKeyNewToOneOfManyProxiesStartsAtOneOfSeveralNeighboursUntilTheOriginIsPressed() {
        Set<Long> met = new HashSet<>();
        Set<Long> pressed = new HashSet<>();
        for (int seed = 0; seed < 40; seed++) {
            met.add(FakeHost.oneOf(100, seed).listed(40).op(1, 77, SECOND).lastNode());
            FakeHost host = FakeHost.oneOf(100, seed).listed(40);
            host.write = true;
            for (long op = 2; op < 9; op++) {
                if (host.op(op, op, SECOND).pushes.get(host.pushes.size() - 1).op() == op) {
                    host.ends(AttemptOutcome.TIMED_OUT, SECOND - 100);
                }
            }
            host.write = false;
            pressed.add(host.op(1, 77, SECOND).lastNode());
        }
        assertTrue(met.size() > 3 && met.size() < 20, "40 proxies met a new key at " + met);
        assertEquals(1, pressed.size(), "each further copy is another fetch");
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void aClientsRepeatsHeatNoKey(boolean repeat, boolean stays) {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8).acks(0, 100, 20);
        host.repeat = repeat;
        Set<Long> used = new HashSet<>();
        for (long op = 100; op < 200; op++) {
            used.add(host.op(op, 5, SECOND).lastNode());
            host.ends(AttemptOutcome.SUCCESS, 20);
        }
        assertEquals(stays, used.size() == 1, "100 ops of one key went to " + used);
    }

    @ParameterizedTest
    @CsvSource({
        "inflight qps x0, 20, 10, true",
        "latency_ms util x0, 900, 0.9, true",
        "inflight qps x0, 1, 10, false",
        "latency_ms util x0, 40, 0.3, false",
        "x1, 9, 9, false",
        "inflight qps x0, NaN, 10, false",
        "inflight qps x0, -20, 10, false",
        "inflight qps, 20, 10, false",
        "queue_age heat x0, 20, 10, false",
        "latency_ms util x0, Infinity, 0.9, false"
    })
    void aCacheThatReportsACrowdGetsFewerOps(
            String columns, double first, double second, boolean fewer) {
        long there = 0;
        for (int seed = 0; seed < 5; seed++) {
            FakeHost host = FakeHost.reporting(columns, seed).listed(8);
            for (long node = 1; node <= 8; node++) {
                host.reports.put(node, new double[] {1, columns.startsWith("l") ? 0.3 : 10, 0.5});
            }
            host.acks(0, 80, 20).reports.put(1L, new double[] {first, second, 0.5});
            host.acks(100, 140, 20).pushes.clear();
            host.acks(200, 400, 20);
            there += host.pushes.stream().filter(p -> p.node() == 1).count();
        }
        assertTrue(fewer ? there < 60 : there > 90, there + " of 1000 went to one of eight");
    }

    @Test
    void aCrowdReportedLongAgoIsForgotten() {
        FakeHost host = FakeHost.reporting("inflight qps", 1).listed(8);
        long home = host.op(1, 77, SECOND).lastNode();
        host.reports.put(home, new double[] {90, 10});
        host.ends(AttemptOutcome.SUCCESS, 20).pass(60 * SECOND);
        assertEquals(home, host.op(2, 77, SECOND).lastNode());
    }

    @Test
    void aSlowKindOpensAPartOfItsPointsThoughItsSizeIsTheSame() {
        FakeHost host = FakeHost.reporting("inflight qps", 1).listed(4);
        for (long node = 1; node <= 4; node++) {
            host.changed(entry(FakeHost.SLOW + node, NodeState.READY, 0));
            host.reports.put(node, new double[] {1, 20});
            host.reports.put(FakeHost.SLOW + node, new double[] {1, 6});
        }
        host.acks(0, 100, 20).pass(SECOND).pushes.clear();
        host.acks(100, 500, 20);
        long slow = host.pushes.stream().filter(p -> p.node() > FakeHost.SLOW).count();
        assertTrue(
                slow > 40 && slow < 140, slow + " of 400 went to caches of a third of the speed");
    }

    @Test
    void aColdNodeThatEachOfManyProxiesMeetsSeldomStillGetsItsShare() {
        long cold = 0;
        for (int seed = 0; seed < 400; seed++) {
            FakeHost host = FakeHost.oneOf(20, seed).listed(20);
            for (long op = 0; op < 49; op++) {
                if (op == 40) {
                    host.changed(entry(21, NodeState.READY, host.clock)).pushes.clear();
                }
                host.op(op, 100L * seed + op, SECOND).ends(AttemptOutcome.SUCCESS, 20).pass(SECOND);
            }
            cold += host.pushes.stream().filter(p -> p.node() == 21).count();
        }
        assertTrue(
                cold > 12 && cold < 100,
                "400 proxies sent " + cold + " of 3600 to one of 21 caches");
    }

    @Test
    void aHeavyProxyOfManyIsNotTakenForExcess() {
        Tenant tenant = new Tenant(90, 1);
        FakeHost host =
                new FakeHost(
                                Effect.DEDUPLICATED,
                                DeduplicationScope.ALL_NODES,
                                true,
                                300,
                                1,
                                tenant)
                        .listed(60);
        for (long op = 0; op < 200; op++) {
            host.op(op, op, SECOND)
                    .ends(AttemptOutcome.SUCCESS, op < 100 ? 200 : 470)
                    .pass(SECOND / 20);
        }
        assertEquals(
                List.of(),
                host.answers,
                "ten a second are its own, though a third is its even part");
    }

    @Test
    void aListThatFailsIsAskedForLessAndLessOftenButInTime() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(2);
        long asked = 0;
        for (int turn = 0; turn < 40; turn++) {
            host.calls.clear();
            host.tell(new Event.EndpointListReceived(Event.ListScope.FAILED, 1, List.of()));
            host.tell(new Event.EndpointListReceived(Event.ListScope.FAILED, 1, List.of()));
            long from = host.clock;
            while (host.calls.isEmpty()) {
                host.pass(SECOND / 10);
            }
            assertTrue(
                    host.clock - from
                            <= TimeBudget.MAX_RETRY_WAIT_MILLIS * SECOND / 1000 + SECOND / 10);
            assertEquals(List.of("subscribe true"), host.calls, "two failures are one call");
            asked += host.clock - from;
        }
        assertTrue(asked > 50 * SECOND, "asked again after " + asked / 40 + " on average");
    }

    @Test
    void aCrowdOfLateAnswersIsMetByPromptNacks() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4).acks(0, 200, 30);
        for (long op = 200; op < 300; op++) {
            host.op(op, op, SECOND);
            if (op % 5 == 0) {
                host.ends(AttemptOutcome.SUCCESS, SECOND / 4);
            }
        }
        assertTrue(
                host.answers.stream().anyMatch(a -> a.startsWith("nack")), "the bound has fallen");
    }

    @Test
    void opsTurnedAwayUnseenByOneCacheDoNotShedThoseOfOthers() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8);
        for (long op = 0; op < 7; op++) {
            host.op(op, op, SECOND)
                    .ends(AttemptOutcome.OVERLOADED, SECOND / 5)
                    .ends(AttemptOutcome.SUCCESS, 50);
        }
        for (long op = 10; op < 16; op++) {
            host.op(op, op, SECOND);
        }
        assertEquals(List.of(), host.answers, "what was answered came in time");
    }

    @Test
    void anOpThatCannotMakeItInTheOriginsQueueIsAnsweredAtOnce() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        host.write = true;
        host.acks(0, 40, 2000).answers.clear();
        for (long op = 40; op < 240; op++) {
            host.op(op, op, SECOND);
        }
        assertTrue(
                host.answers.size() > 100,
                "only " + host.answers.size() + " of 200 answered at once");
    }

    @Test
    void anOpThatCannotOutlastAnothersFetchIsAnsweredAtOnce() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        host.write = true;
        host.acks(0, 40, 2000).answers.clear();
        host.write = false;
        host.op(50, 5, SECOND).ends(AttemptOutcome.CACHE_MISS, 10).op(51, 5, SECOND / 10);
        assertEquals(List.of("nack 51"), host.answers, "fetches take twice as long as it has");
    }

    @Test
    void anEmptyListOrAnOddOneLeavesTheListHeldInUse() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(2);
        host.tell(new Event.EndpointListReceived(Event.ListScope.FULL, 3, List.of()));
        host.tell(new Event.EndpointListReceived(Event.ListScope.CHANGES, 4, List.of()));
        host.changed(
                entry(99, NodeState.GONE, 0),
                entry(2, NodeState.READY, 0),
                entry(2, NodeState.READY, 0));
        host.acks(0, 20, 20);
        Set<Long> met = host.pushes.stream().map(FakeHost.Pushed::node).collect(Collectors.toSet());
        assertEquals(Set.of(1L, 2L), met);
    }

    @Test
    void aDrainingNodeGetsNothingNew() {
        FakeHost host =
                new FakeHost(Effect.IDEMPOTENT).listed(2).changed(entry(1, NodeState.DRAINING, 0));
        for (long op = 0; op < 40; op++) {
            assertEquals(2, host.op(op, op, SECOND).lastNode());
        }
    }

    @Test
    void aColdNodeGetsAShareOfWhatWarmOnesGet() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(3).acks(0, 600, 50);
        host.changed(entry(4, NodeState.READY, host.clock)).pushes.clear();
        host.acks(600, 800, 50);
        long cold = host.pushes.stream().filter(p -> p.node() == 4).count();
        assertTrue(cold > 0 && cold < 25, "got " + cold + " of 200");
    }

    /**
     * Guards against a fleet whose caches all lost their power: none is warm to have a share of.
     */
    @Test
    void cachesThatAreAllColdGetAShareOfWhatAWarmOneWasSentBefore() {
        long[] sent = new long[2];
        for (int known = 0; known < 2; known++) {
            FakeHost host = new FakeHost(Effect.IDEMPOTENT).followsKnowing(known * 40).listed(5);
            for (long node = 1; node <= 5; node++) {
                host.changed(entry(node, NodeState.READY, host.clock));
            }
            for (long op = 0;
                    op < 100;
                    op++) { // A second of 100 ops; a quarter of five times 40 is 50.
                int before = host.pushes.size();
                host.op(op, op, SECOND).pass(SECOND / 100);
                if (host.pushes.size() > before && host.lastNode() <= 5) {
                    sent[known]++;
                    host.ends(AttemptOutcome.SUCCESS, 0);
                }
            }
        }
        assertTrue(
                sent[0] < 40 && sent[1] > sent[0] + 10 && sent[1] < 75,
                sent[0] + " and " + sent[1]);
    }

    /**
     * Guards against caches that are all cold, whose share of a second is sent in its first half,
     * so that nothing is served in the other.
     */
    @Test
    void whatColdCachesMayBeSentIsSpreadOverTheSecond() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).followsKnowing(40).listed(5);
        for (long node = 1; node <= 5; node++) {
            host.changed(entry(node, NodeState.READY, host.clock));
        }
        int[] sent = new int[8];
        for (long op = 0; op < 400; op++) { // Four seconds of 100 ops, by halves.
            int before = host.pushes.size();
            host.op(op, op, SECOND).pass(SECOND / 100);
            if (host.pushes.size() > before && host.lastNode() <= 5) {
                sent[(int) (op / 50)]++;
                host.ends(AttemptOutcome.SUCCESS, 0);
            }
        }
        for (int half = 2; half < sent.length; half++) {
            assertTrue(
                    sent[half] > sent[half - 1] * 0.6,
                    "by halves of a second: " + java.util.Arrays.toString(sent));
        }
    }

    /** What is handed on is what was sent a second for a cache of size one. */
    @Test
    void theRateThatAWarmCacheIsSentIsLearnt() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        host.acks(0, 2_000, SECOND / 100);
        assertTrue(
                host.sendRate() > 20 && host.sendRate() < 30,
                "100 ops a second at four: " + host.sendRate());
    }

    /**
     * Guards against a process that starts after a release, and crowds the few caches that are
     * warm.
     */
    @Test
    void aProxyThatHasJustStartedUsesColdCachesFromItsFirstOpsOn() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8);
        for (long node = 3; node <= 8; node++) {
            host.changed(entry(node, NodeState.READY, host.clock - 5 * SECOND));
        }
        host.acks(0, 200, SECOND / 400);
        long cold = host.pushes.stream().filter(p -> p.node() > 2).count();
        assertTrue(
                cold > 80 && cold < 160,
                cold + " of 200 at six caches that are half cold, two are warm");
    }

    /**
     * Guards against ops turned away while a release is under way, as if all caches were crowded.
     */
    @Test
    void whatIsOnlyColdIsNoJam() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8).acks(0, 200, 100);
        for (long node = 5; node <= 8; node++) {
            host.changed(entry(node, NodeState.READY, host.clock - 2 * SECOND));
        }
        crowds(host, 200, 500);
        assertEquals(List.of(), host.answers);
    }

    /**
     * Guards against a jam seen in a few milliseconds' wait of one's own, where caches are quick.
     */
    @Test
    void whatIsQuickByAnyMeasureIsNoJam() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8).acks(0, 200, 3);
        crowds(host, 25, 25);
        assertEquals(List.of(), host.answers);
    }

    /**
     * Twenty ops at a time, acked one after another, each after its span at a node of low or high
     * id.
     */
    private static void crowds(FakeHost host, long low, long high) {
        for (long id = 1000; id < 1100; id += 20) {
            int before = host.pushes.size();
            for (long each = id; each < id + 20; each++) {
                host.op(each, each, SECOND);
            }
            for (FakeHost.Pushed push :
                    List.copyOf(host.pushes.subList(before, host.pushes.size()))) {
                host.ends(push, AttemptOutcome.SUCCESS, push.node() > 4 ? high : low);
            }
        }
    }

    @Test
    void manyProxiesTogetherKeepAColdNodeWithinItsBudget() {
        long cold = 0;
        for (int seed = 0; seed < 100; seed++) {
            FakeHost host = FakeHost.oneOf(100, seed).listed(20);
            host.acks(0, 40, SECOND / 4);
            host.changed(entry(21, NodeState.READY, host.clock)).pushes.clear();
            host.acks(100 + 40 * seed, 140 + 40 * seed, SECOND / 50);
            cold += host.pushes.stream().filter(p -> p.node() == 21).count();
        }
        assertTrue(
                cold > 0 && cold < 20, "100 proxies met the cold cache of 21 " + cold + " times");
    }

    @Test
    void aSmallShareOfOneProxyOfManyIsNotTakenForExcess() {
        FakeHost host = FakeHost.oneOf(300, 1, new Tenant(90, 1)).listed(60);
        for (long op = 0; op < 40; op++) {
            host.op(op, op, SECOND)
                    .ends(AttemptOutcome.SUCCESS, op < 20 ? 200 : SECOND / 10)
                    .pass(SECOND * 4);
        }
        assertEquals(List.of(), host.answers, "a third of an op a second is due, a quarter came");
    }

    @Test
    void aLateEndAtACacheSeenSeldomSendsItsNextOpsElsewhereMoreOftenThanOneOfMany() {
        int spilledSeldom = 0;
        int spilledOften = 0;
        for (int seed = 0; seed < 40; seed++) {
            spilledSeldom += spilled(seed, 6 * SECOND);
            spilledOften += spilled(seed, SECOND / 20);
        }
        assertTrue(spilledSeldom > 20, "spilled " + spilledSeldom + " of 40");
        assertTrue(spilledOften < 10, "spilled " + spilledOften + " of 40");
    }

    private static int spilled(int seed, long gap) {
        FakeHost host = FakeHost.oneOf(50, seed).listed(60);
        long home = host.op(1, 77, SECOND).lastNode();
        host.ends(AttemptOutcome.SUCCESS, 20)
                .pass(gap)
                .op(2, 77, 2 * SECOND)
                .ends(AttemptOutcome.SUCCESS, SECOND / 2 - 1);
        return host.op(3, 77, SECOND).lastNode() == home ? 0 : 1;
    }

    @Test
    void anOpStuckAtAJammedCacheGetsASecondCopyByHalfItsTarget() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(8).acks(0, 40, SECOND / 5);
        int sent = host.op(100, 100, 2 * SECOND).pushes.size();
        host.pass(SECOND / 2);
        assertTrue(
                host.pushes.size() > sent,
                "a fifth of a second is usual, the target is half of one");
    }

    @Test
    void aSlowOriginBehindManyProxiesGetsAPartOfTheFetches() {
        int fetched = 0;
        for (int seed = 0; seed < 20; seed++) {
            FakeHost host = FakeHost.oneOf(500, seed).listed(60);
            host.write = true;
            for (long op = 0; op < 12; op++) {
                int before = host.pushes.size();
                if (host.op(op, op, SECOND).pushes.size() > before) {
                    host.ends(AttemptOutcome.TIMED_OUT, SECOND - 100);
                    fetched += op < 6 ? 0 : 1;
                }
            }
        }
        assertTrue(
                fetched > 0 && fetched < 80,
                fetched + " of 120 were sent to an origin that answers none");
    }

    @Test
    void aProxyThatSawNothingForLongServesAtOnceThoughItsListWasStale() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(3);
        host.pass(60 * SECOND).op(1, 5, SECOND);
        host.ends(AttemptOutcome.CONNECT_FAILED, 10);
        assertEquals(2, host.pushes.stream().map(FakeHost.Pushed::node).distinct().count());
        host.changed(
                entry(1, NodeState.GONE, 0),
                entry(2, NodeState.GONE, 0),
                entry(3, NodeState.GONE, 0));
        host.op(2, 6, SECOND).changed(entry(2, NodeState.READY, host.clock - 30 * SECOND));
        assertEquals(2, host.op(3, 6, SECOND).lastNode(), "an id that came back");
        assertEquals(List.of("nack 2"), host.answers);
    }

    @Test
    void fetchesLostAsTheirOpsAreAnsweredPressTheOriginOfManyProxies() {
        int fetched = 0;
        for (int seed = 0; seed < 20; seed++) {
            FakeHost host = FakeHost.oneOf(500, seed).listed(60);
            for (long op = 0; op < 12; op++) {
                host.op(op, op, SECOND).ends(AttemptOutcome.CACHE_MISS, 10);
                if (host.lastNode() == ORIGIN
                        && host.pushes.get(host.pushes.size() - 1).op() == op) {
                    host.pass(SECOND).ends(AttemptOutcome.CANCELLED, SECOND - 100);
                    fetched += op < 2 ? 0 : 1;
                }
            }
        }
        assertTrue(fetched < 100, fetched + " of 200 were sent to an origin that answers none");
    }

    @Test
    void aMissGoesToTheOriginAndItsFollowersWaitForIt() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(4);
        long home = host.op(1, 5, SECOND).lastNode();
        host.ends(AttemptOutcome.CACHE_MISS, 10);
        assertEquals(ORIGIN, host.lastNode());
        host.op(2, 5, SECOND).op(3, 5, SECOND);
        assertEquals(2, host.pushes.size(), "the key is being fetched");
        host.ends(AttemptOutcome.SUCCESS, 100);
        assertEquals(4, host.pushes.size());
        assertEquals(home, host.lastNode());
    }

    @Test
    void aNodeOfQuickErrorsLosesItsKeysAndIsTriedAgainLater() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(5);
        long home = host.op(1, 5, SECOND).lastNode();
        host.ends(AttemptOutcome.ERROR, 5).ends(AttemptOutcome.SUCCESS, 5);
        long op = 2;
        Set<Long> seen = new HashSet<>();
        for (; op < 100; op++) {
            host.op(op, 5, SECOND);
            boolean bad = host.lastNode() == home;
            seen.add(host.lastNode());
            host.ends(bad ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, 5);
            if (bad) {
                host.ends(AttemptOutcome.SUCCESS, 5);
            }
        }
        long asked = host.pushes.stream().filter(p -> p.node() == home).count();
        assertTrue(asked < 20, "asked " + asked + " times");
        assertTrue(seen.size() > 1);
        host.pass(20 * SECOND).pushes.clear();
        for (; op < 140; op++) {
            host.op(op, 5, SECOND).ends(AttemptOutcome.SUCCESS, 5);
        }
        assertTrue(host.pushes.stream().anyMatch(p -> p.node() == home), "it is asked again");
    }

    @ParameterizedTest
    @CsvSource({"1, 0, true", "1, 5, false", "600, 0, false"})
    void afterASwitchABadNodeIsKnownUnlessItStartedAnewOrThatIsLongAgo(
            int later, int start, boolean known) {
        FakeHost before = new FakeHost(Effect.IDEMPOTENT).listed(5);
        long home = before.op(1, 5, SECOND).lastNode();
        for (long op = 2; op < 30; op++) {
            before.ends(
                            before.lastNode() == home
                                    ? AttemptOutcome.ERROR
                                    : AttemptOutcome.SUCCESS,
                            5)
                    .op(op, op, SECOND);
        }
        FakeHost host =
                new FakeHost(Effect.DEDUPLICATED, DeduplicationScope.ALL_NODES, true, 300, 1);
        host.follows(before, later * SECOND).listed(5);
        host.changed(entry(home, NodeState.READY, start)).acks(100, 300, 20);
        long there = host.pushes.subList(0, 50).stream().filter(p -> p.node() == home).count();
        assertEquals(known, there < 5, there + " of the first 50 went there");
    }

    @Test
    void aCutNetworkIsRoutedAroundThoughItTakesMostCaches() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listed(5);
        long op = 0;
        for (; op < 150; op++) {
            host.op(op, op, SECOND);
            while (host.lastNode() > 2 && host.answers.isEmpty()) {
                host.ends(AttemptOutcome.CONNECT_FAILED, 20);
            }
            host.ends(AttemptOutcome.SUCCESS, 20);
        }
        assertTrue(host.answers.isEmpty(), "each op found one of the two caches within reach");
        long lost = host.pushes.stream().filter(p -> p.node() > 2).count();
        assertTrue(lost < 60, lost + " pushes were sent to caches out of reach");
    }

    @Test
    void aGivenUpOpIsAnsweredInTheSameBreath() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT);
        host.op(1, 5, SECOND);
        assertEquals(List.of("nack 1"), host.answers, "no node is known");
        host.op(2, 5, 0);
        assertEquals(List.of("nack 1", "nack 2"), host.answers, "its TTL has passed");
    }

    @Test
    void strayEventsAreIgnored() {
        FakeHost host = new FakeHost(Effect.AT_MOST_ONCE).listed(2);
        host.tell(new Event.TimerFired(new TimerId(12345)));
        host.tell(new Event.RequestCancelled(new RequestId(99)));
        host.tell(new Event.PeerMessageReceived(new PeerId(7), new byte[] {1, 2, 3}));
        host.op(1, 5, SECOND).ends(AttemptOutcome.SUCCESS, 5);
        host.ends(host.pushes.get(0), AttemptOutcome.ERROR, 5);
        host.tell(new Event.RequestCancelled(new RequestId(1)));
        assertTrue(host.answers.isEmpty());
        assertFalse(host.pushes.size() > 1);
    }

    /**
     * Guards against shares that stay as small, or as large, as a configuration says that has long
     * been overtaken.
     */
    @Test
    void whatIsSharedOutFollowsTheLivingProxies() {
        FakeHost few = FakeHost.oneOf(300, 1, new Tenant(90, 1)).listed(60);
        FakeHost many = FakeHost.oneOf(300, 1, new Tenant(90, 1)).listed(60);
        few.tell(new Event.LiveProxyCountChanged(3));
        for (FakeHost host : List.of(few, many)) {
            host.write = true;
            for (long op = 0; op < 60; op++) {
                host.op(op, op, SECOND).ends(AttemptOutcome.SUCCESS, SECOND - 100);
            }
            host.pushes.clear();
            for (long op = 100; op < 160; op++) {
                host.op(op, op, SECOND);
                if (!host.pushes.isEmpty() && host.pushes.get(host.pushes.size() - 1).op() == op) {
                    host.ends(AttemptOutcome.SUCCESS, SECOND - 100);
                }
            }
        }
        assertTrue(
                few.pushes.size() > 2 * many.pushes.size(),
                "a slow origin's limit is shared among "
                        + "3 or 300: "
                        + few.pushes.size()
                        + " and "
                        + many.pushes.size()
                        + " of 60 were let through");
    }

    /**
     * Guards against a node that each proxy has to find out of reach for itself; and against trust
     * by hearsay.
     */
    @Test
    void aHintMakesANodeDistrustedSoonerAndTrustIsWonBackByItsOwnAnswersOnly() {
        FakeHost told = new FakeHost(Effect.IDEMPOTENT).listed(5);
        long home = told.op(1, 77, SECOND).lastNode();
        told.ends(AttemptOutcome.SUCCESS, 5).tell(new Event.NodeSuspected(new NodeId(home)));
        told.tell(new Event.NodeSuspected(new NodeId(12345)));
        told.pushes.clear();
        told.acks(100, 300, 5);
        long there = told.pushes.subList(0, 60).stream().filter(p -> p.node() == home).count();
        assertTrue(there < 8, there + " of 60 ops went to a node that a zone cannot reach");
        int later = told.pass(10 * SECOND).pushes.size();
        told.acks(1000, 1300, 5);
        long back =
                told.pushes.subList(later + 200, later + 300).stream()
                        .filter(p -> p.node() == home)
                        .count();
        assertTrue(back > 8, back + " of 100 once it has answered");
    }
}
