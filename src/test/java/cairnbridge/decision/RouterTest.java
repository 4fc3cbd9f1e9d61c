package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.ORIGIN;
import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.endpoint;
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
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the safety rules of the decision module, its load balancing, and its behaviour in known
 * failures.
 */
class RouterTest {
    @Test
    void aKeyStaysAtItsHomeNodeUntilTheCapIsReached() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8);
        long home = host.request(1, 77, SECOND).lastNode();
        assertEquals(home, host.request(2, 77, SECOND).lastNode());
        long spilled = host.request(3, 77, SECOND).lastNode();
        assertNotEquals(
                home, spilled, "two requests in flight at the home node reach the minimum cap");
        host.endAttempt(host.attempts.get(0), AttemptOutcome.SUCCESS, 10);
        assertEquals(home, host.request(4, 77, SECOND).lastNode());
    }

    /**
     * Guards against an endpoint list that returns a node to service while operators have it in
     * maintenance.
     */
    @ParameterizedTest
    @CsvSource({"READY", "DRAINING", "GONE"})
    void aNodeInMaintenanceGetsNoRequestsWhateverTheListSaysAndReturnsInSlowStart(
            NodeState meanwhile) {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        long home = host.request(1, 77, SECOND).lastNode();
        host.endAttempt(AttemptOutcome.SUCCESS, 1)
                .setMaintenance(home, true)
                .setMaintenance(home, true);
        host.advance(SECOND)
                .changeEndpoints(endpoint(home, meanwhile, 0))
                .changeEndpoints(endpoint(home, NodeState.READY, 0));
        for (long key = 100; key < 160; key++) {
            assertNotEquals(home, host.request(key, key, SECOND).lastNode());
            host.endAttempt(AttemptOutcome.SUCCESS, 1);
        }
        host.advance(SECOND);
        assertEquals(1, host.avoidedNodes);
        host.setMaintenance(home, false).advance(SECOND);
        assertEquals(0, host.avoidedNodes);
        int toNode = 0;
        for (long key = 200; key < 260; key++) {
            toNode += host.request(key, key, SECOND).lastNode() == home ? 1 : 0;
            host.endAttempt(AttemptOutcome.SUCCESS, 1);
        }
        assertTrue(toNode > 0 && toNode < 10, toNode + " of 60 went to a node that may be cold");
    }

    /**
     * Guards against requests that wait until their TTL for a fetch whose long response is still
     * streaming.
     */
    @Test
    void followersOfAFetchAreSentToTheCacheOnceItsResponseStreams() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        long home = host.request(1, 77, SECOND).lastNode();
        host.endAttempt(AttemptOutcome.CACHE_MISS, 1).request(2, 77, SECOND);
        assertEquals(ORIGIN, host.lastNode());
        host.handle(new Event.StreamingStarted(new RequestId(1), 1, new NodeId(ORIGIN), 10));
        assertEquals(home, host.lastNode());
        assertEquals(3, host.attempts.size());
    }

    /** Guards against an answer at a deadline that no longer holds. */
    @ParameterizedTest
    @ValueSource(longs = {SECOND / 2, 3 * SECOND})
    void aRequestIsAnsweredAtTheDeadlineThatWasSetLast(long newTtl) {
        FakeHost host = new FakeHost(Effect.AT_MOST_ONCE).listCaches(4).request(1, 77, SECOND);
        host.handle(new Event.RequestDeadlineChanged(new RequestId(1), host.clock + newTtl));
        host.advance(newTtl - SECOND / 10);
        assertEquals(List.of(), host.answers);
        host.advance(SECOND / 10);
        assertEquals(List.of("fail 1"), host.answers);
    }

    @Test
    void anOriginInMaintenanceGetsNoFetches() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(2).setMaintenance(ORIGIN, true);
        host.request(1, 77, SECOND).endAttempt(AttemptOutcome.CACHE_MISS, 1);
        assertEquals(List.of("reject 1"), host.answers);
    }

    @Test
    void aNodeThatIsGoneIsRemovedFromMemory() throws InterruptedException {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(2);
        WeakReference<Object> id = host.addAndRemoveNode(5000);
        for (int i = 0; id.get() != null && i < 50; i++) {
            System.gc();
            Thread.sleep(10);
        }
        assertNull(id.get());
    }

    @Test
    void removingANodeMovesOnlyItsOwnKeys() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(6);
        Map<Long, Long> homes = new HashMap<>();
        for (long key = 0; key < 200; key++) {
            homes.put(key, host.request(key, key, SECOND).lastNode());
            host.endAttempt(AttemptOutcome.SUCCESS, 1);
        }
        host.changeEndpoints(endpoint(3, NodeState.GONE, 0));
        for (long key = 0; key < 200; key++) {
            long node = host.request(1000 + key, key, SECOND).lastNode();
            host.endAttempt(AttemptOutcome.SUCCESS, 1);
            if (homes.get(key) == 3) {
                assertNotEquals(3, node);
            } else {
                assertEquals(homes.get(key), node);
            }
        }
    }

    @Test
    void homesAreUnchangedAfterTheFleetDoublesAndShrinksBack() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(300);
        List<Long> before = homes(host, 0);
        host.listCaches(600);
        List<Long> grown = homes(host, 1000);
        assertTrue(grown.stream().allMatch(node -> node > 300 || before.contains(node)));
        host.listCaches(300);
        assertEquals(before, homes(host, 2000), "nodes that stay keep their points");
    }

    private static List<Long> homes(FakeHost host, long firstId) {
        List<Long> homes = new ArrayList<>();
        for (long key = 0; key < 40; key++) {
            homes.add(host.request(firstId + key, key, SECOND).lastNode());
            host.endAttempt(AttemptOutcome.SUCCESS, 1);
        }
        return homes;
    }

    @ParameterizedTest
    @EnumSource(Effect.class)
    void anUnansweredRequestGetsOneFinalAnswerBeforeItsTtl(Effect effect) {
        FakeHost host = new FakeHost(effect).listCaches(3);
        host.request(1, 5, SECOND).advance(SECOND - 1);
        assertEquals(1, host.answers.size());
        int sent = host.attempts.size();
        host.endAttempt(host.attempts.get(0), AttemptOutcome.TIMED_OUT, 1).advance(SECOND);
        assertEquals(1, host.answers.size());
        assertEquals(sent, host.attempts.size(), "nothing is sent after the answer");
    }

    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, reject 1", "DEDUPLICATED, fail 1", "AT_MOST_ONCE, fail 1"})
    void atItsTtlAnOpenRequestIsRejectedAsRetryableOnlyIfALateRetryIsHarmless(
            Effect effect, String answer) {
        FakeHost host = new FakeHost(effect).listCaches(3);
        host.request(1, 5, SECOND).advance(SECOND);
        assertEquals(
                List.of(answer),
                host.answers,
                "at the advised time the idempotency key may be forgotten");
    }

    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE, ERROR, false", "AT_MOST_ONCE, CONNECTION_LOST, false",
                "AT_MOST_ONCE, TIMED_OUT, false",
        "AT_MOST_ONCE, OVERLOADED, true", "AT_MOST_ONCE, CONNECT_FAILED, true",
                "IDEMPOTENT, ERROR, true",
        "DEDUPLICATED, ERROR, true"
    })
    void aRetryNeedsProofOfNonExecutionOrARepeatableEffect(
            Effect effect, AttemptOutcome outcome, boolean isRetried) {
        FakeHost host = new FakeHost(effect).listCaches(3);
        host.request(1, 5, SECOND).endAttempt(outcome, 10);
        assertEquals(isRetried ? 2 : 1, host.attempts.size());
        assertEquals(isRetried ? List.of() : List.of("fail 1"), host.answers);
    }

    @ParameterizedTest
    @EnumSource(DeduplicationScope.class)
    void aDeduplicatedRequestIsRetriedOnlyWithinItsScope(DeduplicationScope scope) {
        FakeHost host = new FakeHost(Effect.DEDUPLICATED, scope, false).listCaches(1);
        host.changeEndpoints(endpoint(2, NodeState.READY, 0), endpoint(ORIGIN, NodeState.GONE, 0));
        host.request(1, 5, SECOND).endAttempt(AttemptOutcome.CONNECTION_LOST, 10);
        boolean isRetried = scope == DeduplicationScope.ALL_NODES;
        assertEquals(
                isRetried ? 2 : 1,
                host.attempts.size(),
                "the other node is of another zone and cell");
        assertEquals(
                isRetried ? List.of() : List.of("fail 1"),
                host.answers,
                "a retryable rejection would be unsafe");
    }

    @Test
    void aDeduplicatedRequestIsNotRetriedAfterItsDeduplicationWindow() {
        FakeHost host = new FakeHost(Effect.DEDUPLICATED).listCaches(3);
        host.request(1, 5, 2 * SECOND).endAttempt(AttemptOutcome.CONNECTION_LOST, SECOND);
        assertEquals(1, host.attempts.size());
    }

    /**
     * Guards against a retry that starts so late, after connecting, that the node may have
     * forgotten the idempotency key of the first attempt.
     */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, 20000", "AT_MOST_ONCE, 20000", "DEDUPLICATED, 10000"})
    void anAttemptCarriesItsLatestStart(Effect effect, long retryLatestStart) {
        FakeHost host = new FakeHost(effect).listCaches(3);
        long start = host.clock;
        long clockGranularity = 10;
        AttemptOutcome first =
                effect == Effect.AT_MOST_ONCE
                        ? AttemptOutcome.CONNECT_FAILED
                        : AttemptOutcome.CONNECTION_LOST;
        host.request(1, 5, 2 * SECOND).endAttempt(first, 10);
        assertEquals(
                List.of(
                        start + 2 * SECOND - clockGranularity,
                        start + retryLatestStart - clockGranularity),
                host.latestStarts);
    }

    /**
     * Guards against requests that are unanswered when the process exits: all of them are answered
     * before the shutdown deadline.
     */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT, reject 1", "AT_MOST_ONCE, fail 1"})
    void aProxyAnswersItsRequestsBeforeTheShutdownDeadline(Effect effect, String answer) {
        FakeHost host =
                new FakeHost(effect)
                        .listCaches(3)
                        .request(1, 5, 2 * SECOND)
                        .request(2, 6, SECOND / 10);
        host.handle(new Event.ShutdownScheduled(host.clock + SECOND));
        host.advance(SECOND - 1);
        assertEquals(
                answer,
                host.answers.get(host.answers.size() - 1),
                "the second request is answered at its own TTL");
        assertEquals(2, host.answers.size());
        host.advance(2 * SECOND);
        assertEquals(2, host.answers.size(), "one answer per request");
    }

    @Test
    void aKeyHotterThanACacheSpreadsBelowTheCap() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8);
        Set<Long> usedNodes = new HashSet<>();
        for (long id = 0; id < 400; id++) {
            host.request(id, id % 2 == 0 ? 5 : id, SECOND);
            if (id % 2 == 0 && id > 200) {
                usedNodes.add(host.lastNode());
            }
            host.endAttempt(AttemptOutcome.SUCCESS, 20);
        }
        assertTrue(
                usedNodes.size() >= 4, "a key with half of the traffic went only to " + usedNodes);
    }

    @Test
    void aNewKeyAtManyProxiesIsSpreadUnlessTheOriginIsOverloaded() {
        Set<Long> usedNodes = new HashSet<>();
        Set<Long> usedNodesUnderOverload = new HashSet<>();
        for (int seed = 0; seed < 40; seed++) {
            usedNodes.add(
                    FakeHost.oneOfProxies(100, seed)
                            .listCaches(40)
                            .request(1, 77, SECOND)
                            .lastNode());
            FakeHost host = FakeHost.oneOfProxies(100, seed).listCaches(40);
            host.isWrite = true;
            for (long id = 2; id < 9; id++) {
                if (host.request(id, id, SECOND).attempts.get(host.attempts.size() - 1).request()
                        == id) {
                    host.endAttempt(AttemptOutcome.TIMED_OUT, SECOND - 100);
                }
            }
            host.isWrite = false;
            usedNodesUnderOverload.add(host.request(1, 77, SECOND).lastNode());
        }
        assertTrue(
                usedNodes.size() > 3 && usedNodes.size() < 20,
                "40 proxies sent a new key to " + usedNodes);
        assertEquals(
                1, usedNodesUnderOverload.size(), "each further cache would cause another fetch");
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, false"})
    void clientRetriesDoNotMakeAKeyHot(boolean isClientRetry, boolean staysAtHome) {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8).succeedRequests(0, 100, 20);
        host.isClientRetry = isClientRetry;
        Set<Long> usedNodes = new HashSet<>();
        for (long id = 100; id < 200; id++) {
            usedNodes.add(host.request(id, 5, SECOND).lastNode());
            host.endAttempt(AttemptOutcome.SUCCESS, 20);
        }
        assertEquals(
                staysAtHome,
                usedNodes.size() == 1,
                "100 requests for one key went to " + usedNodes);
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
    void aCacheThatReportsHighLoadGetsFewerRequests(
            String columns, double first, double second, boolean expectsFewer) {
        long toNode = 0;
        for (int seed = 0; seed < 5; seed++) {
            FakeHost host = FakeHost.withLoadReports(columns, seed).listCaches(8);
            for (long node = 1; node <= 8; node++) {
                host.loadReports.put(
                        node, new double[] {1, columns.startsWith("l") ? 0.3 : 10, 0.5});
            }
            host.succeedRequests(0, 80, 20).loadReports.put(1L, new double[] {first, second, 0.5});
            host.succeedRequests(100, 140, 20).attempts.clear();
            host.succeedRequests(200, 400, 20);
            toNode += host.attempts.stream().filter(attempt -> attempt.node() == 1).count();
        }
        assertTrue(
                expectsFewer ? toNode < 60 : toNode > 90, toNode + " of 1000 went to one of eight");
    }

    @Test
    void anOldReportOfHighLoadIsIgnored() {
        FakeHost host = FakeHost.withLoadReports("inflight qps", 1).listCaches(8);
        long home = host.request(1, 77, SECOND).lastNode();
        host.loadReports.put(home, new double[] {90, 10});
        host.endAttempt(AttemptOutcome.SUCCESS, 20).advance(60 * SECOND);
        assertEquals(home, host.request(2, 77, SECOND).lastNode());
    }

    @Test
    void aSlowerMachineKindOfTheSameSizeOpensFewerPoints() {
        FakeHost host = FakeHost.withLoadReports("inflight qps", 1).listCaches(4);
        for (long node = 1; node <= 4; node++) {
            host.changeEndpoints(endpoint(FakeHost.LAST_FAST_NODE + node, NodeState.READY, 0));
            host.loadReports.put(node, new double[] {1, 20});
            host.loadReports.put(FakeHost.LAST_FAST_NODE + node, new double[] {1, 6});
        }
        host.succeedRequests(0, 100, 20).advance(SECOND).attempts.clear();
        host.succeedRequests(100, 500, 20);
        long toSlowNodes =
                host.attempts.stream()
                        .filter(attempt -> attempt.node() > FakeHost.LAST_FAST_NODE)
                        .count();
        assertTrue(
                toSlowNodes > 40 && toSlowNodes < 140,
                toSlowNodes + " of 400 went to caches of a third of the speed");
    }

    @Test
    void aColdNodeGetsItsShareFromManyProxiesWithFewRequestsEach() {
        long toColdNodes = 0;
        for (int seed = 0; seed < 400; seed++) {
            FakeHost host = FakeHost.oneOfProxies(20, seed).listCaches(20);
            for (long id = 0; id < 49; id++) {
                if (id == 40) {
                    host.changeEndpoints(endpoint(21, NodeState.READY, host.clock))
                            .attempts
                            .clear();
                }
                host.request(id, 100L * seed + id, SECOND)
                        .endAttempt(AttemptOutcome.SUCCESS, 20)
                        .advance(SECOND);
            }
            toColdNodes += host.attempts.stream().filter(attempt -> attempt.node() == 21).count();
        }
        assertTrue(
                toColdNodes > 12 && toColdNodes < 100,
                "400 proxies sent " + toColdNodes + " of 3600 to one of 21 caches");
    }

    @Test
    void requestsOfABusyProxyAmongManyDoNotExceedTheQuota() {
        Tenant tenant = new Tenant(90, 1);
        FakeHost host =
                new FakeHost(
                                Effect.DEDUPLICATED,
                                DeduplicationScope.ALL_NODES,
                                true,
                                300,
                                1,
                                tenant)
                        .listCaches(60);
        for (long id = 0; id < 200; id++) {
            host.request(id, id, SECOND)
                    .endAttempt(AttemptOutcome.SUCCESS, id < 100 ? 200 : 470)
                    .advance(SECOND / 20);
        }
        assertEquals(
                List.of(),
                host.answers,
                "ten requests per second arrive, though an equal share of the quota is 0.3");
    }

    @Test
    void subscriptionRetriesBackOffWithinTheLimit() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(2);
        long totalDelay = 0;
        for (int i = 0; i < 40; i++) {
            host.calls.clear();
            host.handle(new Event.EndpointListReceived(Event.ListScope.FAILED, 1, List.of()));
            host.handle(new Event.EndpointListReceived(Event.ListScope.FAILED, 1, List.of()));
            long failedAt = host.clock;
            while (host.calls.isEmpty()) {
                host.advance(SECOND / 10);
            }
            assertTrue(
                    host.clock - failedAt
                            <= TimeBudget.MAX_RETRY_WAIT_MILLIS * SECOND / 1000 + SECOND / 10);
            assertEquals(List.of("subscribe true"), host.calls, "two failures cause one retry");
            totalDelay += host.clock - failedAt;
        }
        assertTrue(totalDelay > 50 * SECOND, "retried after " + totalDelay / 40 + " on average");
    }

    @Test
    void manyLateAnswersCauseImmediateRejections() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4).succeedRequests(0, 200, 30);
        for (long id = 200; id < 300; id++) {
            host.request(id, id, SECOND);
            if (id % 5 == 0) {
                host.endAttempt(AttemptOutcome.SUCCESS, SECOND / 4);
            }
        }
        assertTrue(
                host.answers.stream().anyMatch(answer -> answer.startsWith("reject")),
                "the limit has fallen");
    }

    @Test
    void rejectionsByAnOverloadedCacheDoNotShedOtherRequests() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8);
        for (long id = 0; id < 7; id++) {
            host.request(id, id, SECOND)
                    .endAttempt(AttemptOutcome.OVERLOADED, SECOND / 5)
                    .endAttempt(AttemptOutcome.SUCCESS, 50);
        }
        for (long id = 10; id < 16; id++) {
            host.request(id, id, SECOND);
        }
        assertEquals(List.of(), host.answers, "the answers came in time");
    }

    @Test
    void aRequestThatWouldWaitTooLongInTheOriginQueueIsAnsweredImmediately() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        host.isWrite = true;
        host.succeedRequests(0, 40, 2000).answers.clear();
        for (long id = 40; id < 240; id++) {
            host.request(id, id, SECOND);
        }
        assertTrue(
                host.answers.size() > 100,
                "only " + host.answers.size() + " of 200 answered immediately");
    }

    @Test
    void aRequestThatCannotAwaitTheCurrentFetchIsAnsweredImmediately() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        host.isWrite = true;
        host.succeedRequests(0, 40, 2000).answers.clear();
        host.isWrite = false;
        host.request(50, 5, SECOND)
                .endAttempt(AttemptOutcome.CACHE_MISS, 10)
                .request(51, 5, SECOND / 10);
        assertEquals(
                List.of("reject 51"),
                host.answers,
                "a fetch takes twice as long as the remaining time");
    }

    @Test
    void anEmptyOrInconsistentListLeavesTheKnownNodesInUse() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(2);
        host.handle(new Event.EndpointListReceived(Event.ListScope.FULL, 3, List.of()));
        host.handle(new Event.EndpointListReceived(Event.ListScope.CHANGES, 4, List.of()));
        host.changeEndpoints(
                endpoint(99, NodeState.GONE, 0),
                endpoint(2, NodeState.READY, 0),
                endpoint(2, NodeState.READY, 0));
        host.succeedRequests(0, 20, 20);
        Set<Long> usedNodes =
                host.attempts.stream().map(FakeHost.SentAttempt::node).collect(Collectors.toSet());
        assertEquals(Set.of(1L, 2L), usedNodes);
    }

    @Test
    void aDrainingNodeGetsNoNewRequests() {
        FakeHost host =
                new FakeHost(Effect.IDEMPOTENT)
                        .listCaches(2)
                        .changeEndpoints(endpoint(1, NodeState.DRAINING, 0));
        for (long id = 0; id < 40; id++) {
            assertEquals(2, host.request(id, id, SECOND).lastNode());
        }
    }

    @Test
    void aColdNodeGetsAShareOfTheRateOfWarmNodes() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(3).succeedRequests(0, 600, 50);
        host.changeEndpoints(endpoint(4, NodeState.READY, host.clock)).attempts.clear();
        host.succeedRequests(600, 800, 50);
        long toColdNodes = host.attempts.stream().filter(attempt -> attempt.node() == 4).count();
        assertTrue(toColdNodes > 0 && toColdNodes < 25, "got " + toColdNodes + " of 200");
    }

    /**
     * Guards against cold caches that get no requests because all caches have restarted, for
     * example after a power loss, so that there is no warm cache whose rate they could get a share
     * of.
     */
    @Test
    void coldCachesGetAShareOfTheRecordedWarmRateWhenNoCacheIsWarm() {
        long[] sent = new long[2];
        for (int run = 0; run < 2; run++) {
            FakeHost host = new FakeHost(Effect.IDEMPOTENT).warmStartedWith(run * 40).listCaches(5);
            for (long node = 1; node <= 5; node++) {
                host.changeEndpoints(endpoint(node, NodeState.READY, host.clock));
            }
            // One second with 100 requests; the budget of five caches at a quarter of 40 is 50.
            for (long id = 0; id < 100; id++) {
                int before = host.attempts.size();
                host.request(id, id, SECOND).advance(SECOND / 100);
                if (host.attempts.size() > before && host.lastNode() <= 5) {
                    sent[run]++;
                    host.endAttempt(AttemptOutcome.SUCCESS, 0);
                }
            }
        }
        assertTrue(
                sent[0] < 40 && sent[1] > sent[0] + 10 && sent[1] < 75,
                sent[0] + " and " + sent[1]);
    }

    /**
     * Guards against a budget of cold caches that is used up in the first half of a second, so that
     * nothing is served in the other half.
     */
    @Test
    void theBudgetOfColdCachesIsSpreadOverTheSecond() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).warmStartedWith(40).listCaches(5);
        for (long node = 1; node <= 5; node++) {
            host.changeEndpoints(endpoint(node, NodeState.READY, host.clock));
        }
        int[] sent = new int[8];
        // Four seconds of 100 requests each, counted by half seconds.
        for (long id = 0; id < 400; id++) {
            int before = host.attempts.size();
            host.request(id, id, SECOND).advance(SECOND / 100);
            if (host.attempts.size() > before && host.lastNode() <= 5) {
                sent[(int) (id / 50)]++;
                host.endAttempt(AttemptOutcome.SUCCESS, 0);
            }
        }
        for (int half = 2; half < sent.length; half++) {
            assertTrue(
                    sent[half] > sent[half - 1] * 0.6,
                    "attempts by half seconds: " + java.util.Arrays.toString(sent));
        }
    }

    /** The recorded rate is the number of attempts per second at a warm cache of size 1. */
    @Test
    void theWarmStartStateContainsTheRateOfAWarmCache() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        host.succeedRequests(0, 2_000, SECOND / 100);
        assertTrue(
                host.recordedSendRate() > 20 && host.recordedSendRate() < 30,
                "100 requests per second at four caches: " + host.recordedSendRate());
    }

    /**
     * Guards against a proxy that starts while most caches have just been restarted with a new
     * version, and overloads the few that are still warm.
     */
    @Test
    void aNewProxyUsesColdCachesFromItsFirstRequestsOn() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8);
        for (long node = 3; node <= 8; node++) {
            host.changeEndpoints(endpoint(node, NodeState.READY, host.clock - 5 * SECOND));
        }
        host.succeedRequests(0, 200, SECOND / 400);
        long toColdNodes = host.attempts.stream().filter(attempt -> attempt.node() > 2).count();
        assertTrue(
                toColdNodes > 80 && toColdNodes < 160,
                toColdNodes + " of 200 went to the six caches that are half cold; two are warm");
    }

    /**
     * Guards against rejected requests while caches are being restarted with a new version, when
     * the latency of cold caches is mistaken for overload.
     */
    @Test
    void latencyOfColdCachesIsNotOverload() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8).succeedRequests(0, 200, 100);
        for (long node = 5; node <= 8; node++) {
            host.changeEndpoints(endpoint(node, NodeState.READY, host.clock - 2 * SECOND));
        }
        sendBursts(host, 200, 500);
        assertEquals(List.of(), host.answers);
    }

    /**
     * Guards against an overload inferred from a few milliseconds of queueing in the proxy itself
     * while caches are fast.
     */
    @Test
    void lowLatencyIsNotOverloadDespiteQueueingInTheProxy() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(8).succeedRequests(0, 200, 3);
        sendBursts(host, 25, 25);
        assertEquals(List.of(), host.answers);
    }

    /**
     * Sends bursts of 20 requests. The attempts of a burst succeed one after another, each after a
     * duration that depends on whether its node's id is low or high.
     */
    private static void sendBursts(FakeHost host, long low, long high) {
        for (long id = 1000; id < 1100; id += 20) {
            int before = host.attempts.size();
            for (long each = id; each < id + 20; each++) {
                host.request(each, each, SECOND);
            }
            for (FakeHost.SentAttempt attempt :
                    List.copyOf(host.attempts.subList(before, host.attempts.size()))) {
                host.endAttempt(attempt, AttemptOutcome.SUCCESS, attempt.node() > 4 ? high : low);
            }
        }
    }

    @Test
    void aColdNodeStaysWithinItsBudgetAtManyProxies() {
        long toColdNodes = 0;
        for (int seed = 0; seed < 100; seed++) {
            FakeHost host = FakeHost.oneOfProxies(100, seed).listCaches(20);
            host.succeedRequests(0, 40, SECOND / 4);
            host.changeEndpoints(endpoint(21, NodeState.READY, host.clock)).attempts.clear();
            host.succeedRequests(100 + 40 * seed, 140 + 40 * seed, SECOND / 50);
            toColdNodes += host.attempts.stream().filter(attempt -> attempt.node() == 21).count();
        }
        assertTrue(
                toColdNodes > 0 && toColdNodes < 20,
                "100 proxies used the cold cache of 21 " + toColdNodes + " times");
    }

    @Test
    void sparseRequestsAtOneOfManyProxiesDoNotExceedTheQuota() {
        FakeHost host = FakeHost.oneOfProxies(300, 1, new Tenant(90, 1)).listCaches(60);
        for (long id = 0; id < 40; id++) {
            host.request(id, id, SECOND)
                    .endAttempt(AttemptOutcome.SUCCESS, id < 20 ? 200 : SECOND / 10)
                    .advance(SECOND * 4);
        }
        assertEquals(
                List.of(), host.answers, "the quota is 0.3 requests per second, and 0.25 arrive");
    }

    @Test
    void aLateAttemptAfterALongGapLowersTheAcceptedShareMoreThanAfterAShortOne() {
        int spilledSeldom = 0;
        int spilledOften = 0;
        for (int seed = 0; seed < 40; seed++) {
            spilledSeldom += spillsAfterLateAttempt(seed, 6 * SECOND);
            spilledOften += spillsAfterLateAttempt(seed, SECOND / 20);
        }
        assertTrue(spilledSeldom > 20, "spilled " + spilledSeldom + " of 40");
        assertTrue(spilledOften < 10, "spilled " + spilledOften + " of 40");
    }

    private static int spillsAfterLateAttempt(int seed, long gap) {
        FakeHost host = FakeHost.oneOfProxies(50, seed).listCaches(60);
        long home = host.request(1, 77, SECOND).lastNode();
        host.endAttempt(AttemptOutcome.SUCCESS, 20)
                .advance(gap)
                .request(2, 77, 2 * SECOND)
                .endAttempt(AttemptOutcome.SUCCESS, SECOND / 2 - 1);
        return host.request(3, 77, SECOND).lastNode() == home ? 0 : 1;
    }

    @Test
    void aStuckRequestIsHedgedWithinHalfItsLatencyObjective() {
        FakeHost host =
                new FakeHost(Effect.IDEMPOTENT).listCaches(8).succeedRequests(0, 40, SECOND / 5);
        int sent = host.request(100, 100, 2 * SECOND).attempts.size();
        host.advance(SECOND / 2);
        assertTrue(
                host.attempts.size() > sent,
                "the usual latency is 0.2 s, the latency objective 0.5 s");
    }

    @Test
    void anOriginThatTimesOutGetsOnlyAPartOfTheWritesOfManyProxies() {
        int fetched = 0;
        for (int seed = 0; seed < 20; seed++) {
            FakeHost host = FakeHost.oneOfProxies(500, seed).listCaches(60);
            host.isWrite = true;
            for (long id = 0; id < 12; id++) {
                int before = host.attempts.size();
                if (host.request(id, id, SECOND).attempts.size() > before) {
                    host.endAttempt(AttemptOutcome.TIMED_OUT, SECOND - 100);
                    fetched += id < 6 ? 0 : 1;
                }
            }
        }
        assertTrue(
                fetched > 0 && fetched < 80,
                fetched + " of 120 were sent to an origin that answers none");
    }

    @Test
    void anIdleProxyWithAStaleListServesImmediately() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(3);
        host.advance(60 * SECOND).request(1, 5, SECOND);
        host.endAttempt(AttemptOutcome.CONNECT_FAILED, 10);
        assertEquals(2, host.attempts.stream().map(FakeHost.SentAttempt::node).distinct().count());
        host.changeEndpoints(
                endpoint(1, NodeState.GONE, 0),
                endpoint(2, NodeState.GONE, 0),
                endpoint(3, NodeState.GONE, 0));
        host.request(2, 6, SECOND)
                .changeEndpoints(endpoint(2, NodeState.READY, host.clock - 30 * SECOND));
        assertEquals(2, host.request(3, 6, SECOND).lastNode(), "a node that returned under its id");
        assertEquals(List.of("reject 2"), host.answers);
    }

    @Test
    void fetchesCancelledAtTheDeadlineLowerTheOriginLimitOfManyProxies() {
        int fetched = 0;
        for (int seed = 0; seed < 20; seed++) {
            FakeHost host = FakeHost.oneOfProxies(500, seed).listCaches(60);
            for (long id = 0; id < 12; id++) {
                host.request(id, id, SECOND).endAttempt(AttemptOutcome.CACHE_MISS, 10);
                if (host.lastNode() == ORIGIN
                        && host.attempts.get(host.attempts.size() - 1).request() == id) {
                    host.advance(SECOND).endAttempt(AttemptOutcome.CANCELLED, SECOND - 100);
                    fetched += id < 2 ? 0 : 1;
                }
            }
        }
        assertTrue(fetched < 100, fetched + " of 200 were sent to an origin that answers none");
    }

    @Test
    void aMissIsFetchedFromTheOriginOnceAndItsFollowersWait() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(4);
        long home = host.request(1, 5, SECOND).lastNode();
        host.endAttempt(AttemptOutcome.CACHE_MISS, 10);
        assertEquals(ORIGIN, host.lastNode());
        host.request(2, 5, SECOND).request(3, 5, SECOND);
        assertEquals(2, host.attempts.size(), "the key is being fetched");
        host.endAttempt(AttemptOutcome.SUCCESS, 100);
        assertEquals(4, host.attempts.size());
        assertEquals(home, host.lastNode());
    }

    @Test
    void aNodeThatFailsFastLosesItsKeysAndIsTriedAgainLater() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(5);
        long home = host.request(1, 5, SECOND).lastNode();
        host.endAttempt(AttemptOutcome.ERROR, 5).endAttempt(AttemptOutcome.SUCCESS, 5);
        long id = 2;
        Set<Long> usedNodes = new HashSet<>();
        for (; id < 100; id++) {
            host.request(id, 5, SECOND);
            boolean isHome = host.lastNode() == home;
            usedNodes.add(host.lastNode());
            host.endAttempt(isHome ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS, 5);
            if (isHome) {
                host.endAttempt(AttemptOutcome.SUCCESS, 5);
            }
        }
        long toHome = host.attempts.stream().filter(attempt -> attempt.node() == home).count();
        assertTrue(toHome < 20, "sent " + toHome + " times");
        assertTrue(usedNodes.size() > 1);
        host.advance(20 * SECOND).attempts.clear();
        for (; id < 140; id++) {
            host.request(id, 5, SECOND).endAttempt(AttemptOutcome.SUCCESS, 5);
        }
        assertTrue(
                host.attempts.stream().anyMatch(attempt -> attempt.node() == home),
                "it gets requests again");
    }

    @ParameterizedTest
    @CsvSource({"1, 0, true", "1, 5, false", "600, 0, false"})
    void aWarmStartRestoresBadHealthUnlessTheNodeRestartedOrTheRecordIsOld(
            int delaySeconds, int startedAt, boolean isRestored) {
        FakeHost before = new FakeHost(Effect.IDEMPOTENT).listCaches(5);
        long home = before.request(1, 5, SECOND).lastNode();
        for (long id = 2; id < 30; id++) {
            before.endAttempt(
                            before.lastNode() == home
                                    ? AttemptOutcome.ERROR
                                    : AttemptOutcome.SUCCESS,
                            5)
                    .request(id, id, SECOND);
        }
        FakeHost host =
                new FakeHost(Effect.DEDUPLICATED, DeduplicationScope.ALL_NODES, true, 300, 1);
        host.replaceRouterOf(before, delaySeconds * SECOND).listCaches(5);
        host.changeEndpoints(endpoint(home, NodeState.READY, startedAt))
                .succeedRequests(100, 300, 20);
        long toNode =
                host.attempts.subList(0, 50).stream()
                        .filter(attempt -> attempt.node() == home)
                        .count();
        assertEquals(isRestored, toNode < 5, toNode + " of the first 50 went there");
    }

    @Test
    void requestsReachTheRemainingCachesWhenMostAreUnreachable() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(5);
        long id = 0;
        for (; id < 150; id++) {
            host.request(id, id, SECOND);
            while (host.lastNode() > 2 && host.answers.isEmpty()) {
                host.endAttempt(AttemptOutcome.CONNECT_FAILED, 20);
            }
            host.endAttempt(AttemptOutcome.SUCCESS, 20);
        }
        assertTrue(
                host.answers.isEmpty(),
                "each request was served by one of the two reachable caches");
        long toUnreachable = host.attempts.stream().filter(attempt -> attempt.node() > 2).count();
        assertTrue(toUnreachable < 60, toUnreachable + " attempts were sent to unreachable caches");
    }

    @Test
    void aRequestThatCannotBeSentIsAnsweredImmediately() {
        FakeHost host = new FakeHost(Effect.IDEMPOTENT);
        host.request(1, 5, SECOND);
        assertEquals(List.of("reject 1"), host.answers, "no node is known");
        host.request(2, 5, 0);
        assertEquals(List.of("reject 1", "reject 2"), host.answers, "its TTL has passed");
    }

    @Test
    void eventsOfUnknownRequestsAndTimersAreIgnored() {
        FakeHost host = new FakeHost(Effect.AT_MOST_ONCE).listCaches(2);
        host.handle(new Event.TimerFired(new TimerId(12345)));
        host.handle(new Event.RequestCancelled(new RequestId(99)));
        host.handle(new Event.PeerMessageReceived(new PeerId(7), new byte[] {1, 2, 3}));
        host.request(1, 5, SECOND).endAttempt(AttemptOutcome.SUCCESS, 5);
        host.endAttempt(host.attempts.get(0), AttemptOutcome.ERROR, 5);
        host.handle(new Event.RequestCancelled(new RequestId(1)));
        assertTrue(host.answers.isEmpty());
        assertFalse(host.attempts.size() > 1);
    }

    /**
     * Guards against shares of fleet-wide limits that still follow the configured number of proxies
     * after the fleet has grown or shrunk.
     */
    @Test
    void fleetWideLimitsFollowTheLiveProxyCount() {
        FakeHost fewProxies = FakeHost.oneOfProxies(300, 1, new Tenant(90, 1)).listCaches(60);
        FakeHost manyProxies = FakeHost.oneOfProxies(300, 1, new Tenant(90, 1)).listCaches(60);
        fewProxies.handle(new Event.LiveProxyCountChanged(3));
        for (FakeHost host : List.of(fewProxies, manyProxies)) {
            host.isWrite = true;
            for (long id = 0; id < 60; id++) {
                host.request(id, id, SECOND).endAttempt(AttemptOutcome.SUCCESS, SECOND - 100);
            }
            host.attempts.clear();
            for (long id = 100; id < 160; id++) {
                host.request(id, id, SECOND);
                if (!host.attempts.isEmpty()
                        && host.attempts.get(host.attempts.size() - 1).request() == id) {
                    host.endAttempt(AttemptOutcome.SUCCESS, SECOND - 100);
                }
            }
        }
        assertTrue(
                fewProxies.attempts.size() > 2 * manyProxies.attempts.size(),
                "a slow origin's limit is shared among "
                        + "3 or 300: "
                        + fewProxies.attempts.size()
                        + " and "
                        + manyProxies.attempts.size()
                        + " of 60 were sent");
    }

    /**
     * Guards against a node that each proxy must find unreachable by itself, and against health
     * that is restored by hints instead of the proxy's own attempts.
     */
    @Test
    void aHintLowersTheAcceptedShareWhichRecoversWithSuccessfulAttempts() {
        FakeHost hinted = new FakeHost(Effect.IDEMPOTENT).listCaches(5);
        long home = hinted.request(1, 77, SECOND).lastNode();
        hinted.endAttempt(AttemptOutcome.SUCCESS, 5)
                .handle(new Event.NodeSuspected(new NodeId(home)));
        hinted.handle(new Event.NodeSuspected(new NodeId(12345)));
        hinted.attempts.clear();
        hinted.succeedRequests(100, 300, 5);
        long toNode =
                hinted.attempts.subList(0, 60).stream()
                        .filter(attempt -> attempt.node() == home)
                        .count();
        assertTrue(
                toNode < 8, toNode + " of 60 requests went to a node that its zone cannot reach");
        int attemptsBefore = hinted.advance(10 * SECOND).attempts.size();
        hinted.succeedRequests(1000, 1300, 5);
        long toNodeLater =
                hinted.attempts.subList(attemptsBefore + 200, attemptsBefore + 300).stream()
                        .filter(attempt -> attempt.node() == home)
                        .count();
        assertTrue(toNodeLater > 8, toNodeLater + " of 100 after successful attempts");
    }
}
