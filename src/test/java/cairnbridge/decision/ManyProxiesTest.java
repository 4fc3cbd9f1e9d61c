package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.ORIGIN;
import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.entry;
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
 * What does no harm in one proxy but would in all of them: the same failure met by many routers at
 * once.
 */
class ManyProxiesTest {
    private static final int PROXIES = 60;
    private static final int CACHES = 20;

    private static List<FakeHost> many(Effect effect) {
        return LongStream.range(0, PROXIES)
                .mapToObj(
                        seed ->
                                new FakeHost(
                                                effect,
                                                DeduplicationScope.ALL_NODES,
                                                true,
                                                PROXIES,
                                                seed)
                                        .listed(CACHES))
                .toList();
    }

    /**
     * Guards against a release in which seven in ten start by an old list and fell what has just
     * started.
     */
    @Test
    void proxiesKilledTogetherServeByTheOldListAndSpareWhatIsColdWhenTheLateOneComes() {
        List<FakeHost> fleet = many(Effect.IDEMPOTENT);
        Map<Long, Integer> cold = new HashMap<>();
        int pushes = 0;
        for (FakeHost host : fleet) {
            long id = 0;
            // Discovery is silent for six seconds: two of the caches named are gone, nobody has
            // said so.
            for (; id < 60; id++) {
                host.op(id, id * 131, SECOND).pass(10);
                for (int tries = 0;
                        host.lastNode() <= 2 && host.pushes.size() > id && tries < 4;
                        tries++) {
                    host.ends(AttemptOutcome.CONNECT_FAILED, 5);
                }
                host.ends(AttemptOutcome.SUCCESS, 20).pass(SECOND / 10);
            }
            long found = host.pushes.stream().filter(push -> push.node() <= 2).count();
            assertTrue(found < 30, found + " pushes looked for the two caches that are gone");
            host.changed(entry(1, NodeState.GONE, 0), entry(2, NodeState.GONE, 0));
            for (long node = 21; node <= 26; node++) {
                host.changed(entry(node, NodeState.READY, host.clock));
            }
            int before = host.pushes.size();
            for (; id < 90; id++) {
                host.op(id, id * 131, SECOND).ends(AttemptOutcome.SUCCESS, 20).pass(SECOND / 30);
            }
            pushes += host.pushes.size() - before;
            host.pushes.subList(before, host.pushes.size()).stream()
                    .filter(push -> push.node() > 20)
                    .forEach(push -> cold.merge(push.node(), 1, Integer::sum));
            assertEquals(List.of(), host.answers, "every op found a cache");
        }
        int fair = pushes / (CACHES - 2);
        assertEquals(6, cold.size(), "cold caches are used, or they never warm");
        cold.forEach(
                (node, sent) ->
                        assertTrue(
                                sent < 0.8 * fair,
                                node
                                        + " got "
                                        + sent
                                        + " of all proxies while it was cold, a warm one "
                                        + fair));
    }

    /**
     * Guards against pushes to nodes that drain, made from what a cut-off zone has left unanswered.
     */
    @Test
    void aZoneCutOffWhileAListIsOnItsWayLosesNoOpAndTheListCountsAtOnce() {
        for (FakeHost host : many(Effect.IDEMPOTENT)) {
            for (long id = 0; id < 40; id++) {
                host.op(id, id * 977, SECOND);
                host.pass(SECOND / 100);
            }
            Set<Long> acked = new HashSet<>();
            List<FakeHost.Pushed> silent = new ArrayList<>();
            for (FakeHost.Pushed push : List.copyOf(host.pushes)) {
                if (push.node() % 2 == 0) {
                    silent.add(push); // Its zone is cut off: it says nothing.
                } else if (acked.add(push.op())) {
                    host.ends(push, AttemptOutcome.SUCCESS, 1);
                }
            }
            assertTrue(silent.size() > 5, "half of the caches are silent");
            for (long node = 2; node <= 8; node += 2) {
                host.changed(entry(node, NodeState.DRAINING, 0));
            }
            int listed = host.pushes.size();
            host.pass(SECOND);
            for (FakeHost.Pushed push : host.pushes.subList(listed, host.pushes.size())) {
                assertTrue(
                        push.node() % 2 == 1 || push.node() > 8,
                        "sent to " + push.node() + ", it drains");
            }
            Set<String> answered = new HashSet<>(host.answers);
            assertEquals(answered.size(), host.answers.size(), "one answer an op");
            for (FakeHost.Pushed push : silent) {
                boolean owed = acked.contains(push.op());
                assertEquals(
                        owed ? 0 : 1,
                        answered.contains("nack " + push.op()) ? 1 : 0,
                        "op " + push.op() + " has one answer by its TTL");
            }
        }
    }

    /**
     * Guards against a write done twice, once at each of two nodes, where connections are reset in
     * crowds.
     */
    @Test
    void resetsUnderAtMostOnceOpsAreDeadLetteredAtEveryProxyAndNeverPushedAgain() {
        for (FakeHost host : many(Effect.AT_MOST_ONCE)) {
            host.write = true;
            List<String> expected = new ArrayList<>();
            for (long id = 0; id < 20; id++) {
                int before = host.pushes.size();
                host.op(id, id * 31, SECOND);
                if (host.pushes.size() == before) {
                    // The origin's limit has fallen: never sent, so it may come back.
                    expected.add("nack " + id);
                    continue;
                }
                assertEquals(ORIGIN, host.lastNode());
                if (id % 4 == 0) {
                    host.ends(AttemptOutcome.CONNECT_FAILED, 2); // Proof that it never ran.
                }
                boolean out =
                        host.pushes.get(host.pushes.size() - 1).op() == id
                                && host.answers.size() == expected.size();
                if (out) {
                    host.ends(AttemptOutcome.CONNECTION_LOST, 5);
                    expected.add("dead " + id);
                } else {
                    expected.add("nack " + id);
                }
                host.pass(SECOND / 10);
            }
            assertEquals(expected, host.answers);
            Map<Long, Long> mayHaveRun = new HashMap<>();
            host.pushes.forEach(push -> mayHaveRun.merge(push.op(), 1L, Long::sum));
            mayHaveRun.forEach(
                    (id, count) ->
                            assertTrue(
                                    count <= (id % 4 == 0 ? 2 : 1),
                                    "op " + id + " was pushed " + count + " times"));
        }
    }

    /** Guards against a growing fleet whose cold caches each proxy spares and all together fell. */
    @Test
    void coldCachesThatComeInNumbersStayUnderTheirShareOfAllProxiesTogether() {
        Map<Long, Integer> cold = new HashMap<>();
        int warm = 0;
        long own = 0;
        for (FakeHost host : many(Effect.IDEMPOTENT)) {
            own += 1000; // Each proxy has keys of its own.
            host.acks(own, own + 90, SECOND / 30); // Three seconds at thirty a second.
            List<Event.Endpoint> change = new ArrayList<>();
            for (long node = 1; node <= 12; node++) {
                change.add(entry(node, NodeState.DRAINING, 0));
                change.add(entry(100 + node, NodeState.READY, host.clock));
            }
            host.changed(change.toArray(Event.Endpoint[]::new));
            int before = host.pushes.size();
            host.acks(own + 100, own + 130, SECOND / 30);
            for (FakeHost.Pushed push : host.pushes.subList(before, host.pushes.size())) {
                if (push.node() > 100) {
                    cold.merge(push.node(), 1, Integer::sum);
                } else {
                    assertTrue(push.node() > 12, "nothing to a node that drains");
                    warm++;
                }
            }
        }
        double fair = (double) PROXIES * 30 / CACHES;
        assertEquals(12, cold.size(), "each of the cold ones is used");
        assertTrue(warm > PROXIES * 30 / 2, "the eight warm ones bear most, " + warm);
        // The settings let a cold cache take twice its warmth of what a warm one is sent, in one
        // span.
        cold.forEach(
                (node, sent) ->
                        assertTrue(
                                sent < fair,
                                node
                                        + " got "
                                        + sent
                                        + " in its first second, a warm one got "
                                        + fair
                                        + " before"));
    }
}
