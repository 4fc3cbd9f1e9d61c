package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.ORIGIN;
import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.endpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Failures that are harmless at one proxy but not at all of them together: many routers meet the
 * same failure at the same time.
 */
class ManyProxiesTest {
    private static final int PROXIES = 60;
    private static final int CACHES = 20;

    private static List<FakeHost> createProxies(Effect effect) {
        return LongStream.range(0, PROXIES)
                .mapToObj(
                        seed ->
                                new FakeHost(
                                                effect,
                                                DeduplicationScope.ALL_NODES,
                                                true,
                                                PROXIES,
                                                seed)
                                        .listCaches(CACHES))
                .toList();
    }

    /**
     * Guards against a release in which seven in ten proxies start from an old endpoint list and
     * together overload the caches that have just started.
     */
    @Test
    void proxiesRestartedTogetherServeFromACachedListAndLimitLoadOnColdCachesOfTheLateList() {
        List<FakeHost> fleet = createProxies(Effect.IDEMPOTENT);
        Map<Long, Integer> coldAttempts = new HashMap<>();
        int attemptCount = 0;
        for (FakeHost host : fleet) {
            long id = 0;
            // Discovery is unreachable for six seconds. Two of the listed caches are gone, and the
            // proxies have not been notified.
            for (; id < 60; id++) {
                host.request(id, id * 131, SECOND).advance(10);
                for (int retries = 0;
                        host.lastNode() <= 2 && host.attempts.size() > id && retries < 4;
                        retries++) {
                    host.endAttempt(AttemptOutcome.CONNECT_FAILED, 5);
                }
                host.endAttempt(AttemptOutcome.SUCCESS, 20).advance(SECOND / 10);
            }
            long toGoneCaches =
                    host.attempts.stream().filter(attempt -> attempt.node() <= 2).count();
            assertTrue(
                    toGoneCaches < 30,
                    toGoneCaches + " attempts were sent to the two caches that are gone");
            host.changeEndpoints(endpoint(1, NodeState.GONE, 0), endpoint(2, NodeState.GONE, 0));
            for (long node = 21; node <= 26; node++) {
                host.changeEndpoints(endpoint(node, NodeState.READY, host.clock));
            }
            int before = host.attempts.size();
            for (; id < 90; id++) {
                host.request(id, id * 131, SECOND)
                        .endAttempt(AttemptOutcome.SUCCESS, 20)
                        .advance(SECOND / 30);
            }
            attemptCount += host.attempts.size() - before;
            host.attempts.subList(before, host.attempts.size()).stream()
                    .filter(attempt -> attempt.node() > 20)
                    .forEach(attempt -> coldAttempts.merge(attempt.node(), 1, Integer::sum));
            assertEquals(List.of(), host.answers, "every request was served by a cache");
        }
        int fairShare = attemptCount / (CACHES - 2);
        assertEquals(6, coldAttempts.size(), "every cold cache gets requests");
        coldAttempts.forEach(
                (node, count) ->
                        assertTrue(
                                count < 0.8 * fairShare,
                                node
                                        + " got "
                                        + count
                                        + " attempts from all proxies while it was cold, a warm one"
                                        + " "
                                        + fairShare));
    }

    /**
     * Guards against retries at draining nodes, which could follow the unanswered attempts at a
     * partitioned zone.
     */
    @Test
    void aPartitionedZoneLeavesNoRequestUnansweredAndDrainingNodesGetNoRetries() {
        for (FakeHost host : createProxies(Effect.IDEMPOTENT)) {
            for (long id = 0; id < 40; id++) {
                host.request(id, id * 977, SECOND);
                host.advance(SECOND / 100);
            }
            Set<Long> succeeded = new HashSet<>();
            List<FakeHost.SentAttempt> unanswered = new ArrayList<>();
            for (FakeHost.SentAttempt attempt : List.copyOf(host.attempts)) {
                if (attempt.node() % 2 == 0) {
                    unanswered.add(attempt); // Its zone is unreachable, so it never answers.
                } else if (succeeded.add(attempt.request())) {
                    host.endAttempt(attempt, AttemptOutcome.SUCCESS, 1);
                }
            }
            assertTrue(unanswered.size() > 5, "the attempts at half of the caches are unanswered");
            for (long node = 2; node <= 8; node += 2) {
                host.changeEndpoints(endpoint(node, NodeState.DRAINING, 0));
            }
            int attemptsBefore = host.attempts.size();
            host.advance(SECOND);
            for (FakeHost.SentAttempt attempt :
                    host.attempts.subList(attemptsBefore, host.attempts.size())) {
                assertTrue(
                        attempt.node() % 2 == 1 || attempt.node() > 8,
                        "sent to " + attempt.node() + " although it is draining");
            }
            Set<String> finalAnswers = new HashSet<>(host.answers);
            assertEquals(finalAnswers.size(), host.answers.size(), "one answer per request");
            for (FakeHost.SentAttempt attempt : unanswered) {
                boolean hasSucceeded = succeeded.contains(attempt.request());
                assertEquals(
                        hasSucceeded ? 0 : 1,
                        finalAnswers.contains("reject " + attempt.request()) ? 1 : 0,
                        "request " + attempt.request() + " has one answer by its TTL");
            }
        }
    }

    /**
     * Guards against a write that is executed at two nodes because connections are reset in large
     * numbers.
     */
    @Test
    void atMostOnceRequestsFailPermanentlyAfterAResetAndAreNeverRetried() {
        for (FakeHost host : createProxies(Effect.AT_MOST_ONCE)) {
            host.isWrite = true;
            List<String> expected = new ArrayList<>();
            for (long id = 0; id < 20; id++) {
                int before = host.attempts.size();
                host.request(id, id * 31, SECOND);
                if (host.attempts.size() == before) {
                    // The origin's limit has fallen: the request was never sent and is rejected as
                    // retryable.
                    expected.add("reject " + id);
                    continue;
                }
                assertEquals(ORIGIN, host.lastNode());
                if (id % 4 == 0) {
                    host.endAttempt(
                            AttemptOutcome.CONNECT_FAILED,
                            2); // This proves that the request was not executed.
                }
                boolean mayHaveRunOnce =
                        host.attempts.get(host.attempts.size() - 1).request() == id
                                && host.answers.size() == expected.size();
                if (mayHaveRunOnce) {
                    host.endAttempt(AttemptOutcome.CONNECTION_LOST, 5);
                    expected.add("fail " + id);
                } else {
                    expected.add("reject " + id);
                }
                host.advance(SECOND / 10);
            }
            assertEquals(expected, host.answers);
            Map<Long, Long> mayHaveRun = new HashMap<>();
            host.attempts.forEach(attempt -> mayHaveRun.merge(attempt.request(), 1L, Long::sum));
            mayHaveRun.forEach(
                    (id, count) ->
                            assertTrue(
                                    count <= (id % 4 == 0 ? 2 : 1),
                                    "request " + id + " was sent " + count + " times"));
        }
    }

    /**
     * Guards against overloading new cold caches in a growing fleet: each proxy sends them little,
     * but all proxies together send too much.
     */
    @Test
    void manyColdCachesTogetherGetNoMoreThanTheirShareFromAllProxies() {
        Map<Long, Integer> coldAttempts = new HashMap<>();
        int warmAttempts = 0;
        long firstId = 0;
        for (FakeHost host : createProxies(Effect.IDEMPOTENT)) {
            firstId += 1000; // Each proxy requests its own keys.
            host.succeedRequests(
                    firstId,
                    firstId + 90,
                    SECOND / 30); // Three seconds at thirty requests per second.
            List<Event.Endpoint> change = new ArrayList<>();
            for (long node = 1; node <= 12; node++) {
                change.add(endpoint(node, NodeState.DRAINING, 0));
                change.add(endpoint(100 + node, NodeState.READY, host.clock));
            }
            host.changeEndpoints(change.toArray(Event.Endpoint[]::new));
            int before = host.attempts.size();
            host.succeedRequests(firstId + 100, firstId + 130, SECOND / 30);
            for (FakeHost.SentAttempt attempt :
                    host.attempts.subList(before, host.attempts.size())) {
                if (attempt.node() > 100) {
                    coldAttempts.merge(attempt.node(), 1, Integer::sum);
                } else {
                    assertTrue(attempt.node() > 12, "no attempt goes to a draining node");
                    warmAttempts++;
                }
            }
        }
        double warmShare = (double) PROXIES * 30 / CACHES;
        assertEquals(12, coldAttempts.size(), "every cold cache gets requests");
        assertTrue(
                warmAttempts > PROXIES * 30 / 2,
                "the eight warm caches get most requests: " + warmAttempts);
        // The settings let a cold cache take, in one window, twice its warmth times the attempts
        // that a warm cache is sent.
        coldAttempts.forEach(
                (node, count) ->
                        assertTrue(
                                count < warmShare,
                                node
                                        + " got "
                                        + count
                                        + " attempts in its first second, a warm one got "
                                        + warmShare
                                        + " before"));
    }
}
