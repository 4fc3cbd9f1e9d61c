package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.entry;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What all processes together send to one cold cache. Guards against budgets that each process
 * keeps and whose sum, rounded by chance and begun anew with each restart, fells the cache: over N
 * calls in one span only 2 root of N + 2 are chance. N is what the settings allow, a warm cache's
 * capacity taken as no more than it gets.
 */
class SlowStartSumTest {
    private static final int CACHES = 20;
    private static final int COLD = 21;
    private static final long STEP = SECOND / 100;
    private static final long BEFORE = 6 * SECOND;
    private static final long AFTER = 9 * SECOND;

    /**
     * Of FakeHost's settings: the multiple of its capacity that a cold cache bears, and its
     * warm-up.
     */
    private static final double MULTIPLE = 2;

    private static final double COLD_FROM = 0.25;
    private static final double WARM_UP = 10 * SECOND;

    private record Out(FakeHost.Pushed push, long sent, long due, AttemptOutcome ending) {}

    /** One process with its own part of the traffic; a restart replaces its host. */
    private static final class SimulatedProxy {
        final double rate;
        final List<Out> out = new ArrayList<>();
        FakeHost host;
        int seen;

        SimulatedProxy(FakeHost host, double rate) {
            this.host = host;
            this.rate = rate;
        }
    }

    /** A plain run, and fleets whose settings name more or fewer processes than live. */
    @ParameterizedTest
    @CsvSource({
        "20, 20, 0",
        "30, 30, 0",
        "100, 100, 0",
        "30, 30, 10",
        "30, 60, 5",
        "60, 20, 5",
        "100, 100, 30"
    })
    void theSumAtOneColdCacheStaysWithinItsBudgetAndChance(int living, int told, int restarted) {
        int sent = 0;
        int served = 0;
        for (long seed = 1; seed <= 8; seed++) {
            RandomGenerator chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            List<SimulatedProxy> fleet = new ArrayList<>();
            for (int i = 0; i < living; i++) {
                // Some processes get several times the mean.
                double rate =
                        400.0
                                / living
                                * (0.4 + 1.2 * chance.nextDouble())
                                * (i % 9 == 0 ? 3 : 0.75);
                fleet.add(new SimulatedProxy(host(told, seed * 1000 + i), rate));
            }
            long start = fleet.get(0).host.clock;
            long joined = start + BEFORE;
            long id = 0;
            List<Long> cold = new ArrayList<>();
            int warm = 0;
            for (long now = start; now < joined + AFTER; now += STEP) {
                for (int i = 0; i < living; i++) {
                    SimulatedProxy process = fleet.get(i);
                    if (now == joined) {
                        process.host.changed(entry(COLD, NodeState.READY, joined));
                    } else if (i < restarted && now == joined + (1 + i % 5) * SECOND) {
                        process.host = host(told, seed * 7000 + i);
                        process.host.clock = now;
                        process.host.changed(entry(COLD, NodeState.READY, joined));
                        process.out.clear();
                        process.seen = 0;
                    }
                    process.host.pass(now - process.host.clock);
                    ended(process, now);
                    for (double due = process.rate / 100; due > chance.nextDouble(); due--) {
                        process.host.op(++id, chance.nextLong(5000), SECOND);
                    }
                    for (; process.seen < process.host.pushes.size(); process.seen++) {
                        FakeHost.Pushed push = process.host.pushes.get(process.seen);
                        if (push.node() == COLD) {
                            cold.add(now);
                        } else if (push.node() <= CACHES && now < joined) {
                            warm++;
                        }
                        process.out.add(out(push, now, chance));
                    }
                }
            }
            served += cold.size();
            sent = (int) (sent + id);
            double rate =
                    (double) warm
                            / CACHES
                            / BEFORE; // Calls to a warm one in a tenth of a millisecond.
            check(cold, joined, rate, "seed " + seed);
        }
        assertTrue(
                served > sent / 200,
                "the cold cache is used, or never warms: " + served + " of " + sent);
    }

    private static FakeHost host(int told, long seed) {
        return new FakeHost(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, told, seed)
                .listed(CACHES);
    }

    /**
     * Most are acked; some take so long that a second copy goes out; some break, or find no
     * connection.
     */
    private static Out out(FakeHost.Pushed push, long now, RandomGenerator chance) {
        double luck = chance.nextDouble();
        AttemptOutcome ending =
                luck < 0.03
                        ? AttemptOutcome.CONNECTION_LOST
                        : luck < 0.06 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS;
        long took = luck > 0.95 ? SECOND / 3 : SECOND / 100 + chance.nextLong(SECOND / 50);
        return new Out(push, now, now + took, ending);
    }

    private static void ended(SimulatedProxy process, long now) {
        for (Out each : List.copyOf(process.out)) {
            if (each.due <= now) {
                process.out.remove(each);
                process.host.tell(
                        new Event.AttemptEnded(
                                new RequestId(each.push.op()),
                                each.push.push(),
                                new NodeId(each.push.node()),
                                each.ending,
                                0,
                                now - each.sent,
                                each.ending == AttemptOutcome.SUCCESS,
                                null));
            }
        }
    }

    /**
     * Over every span of the settings' length: guards also against a burst that lies across two.
     */
    private static void check(List<Long> cold, long joined, double rate, String where) {
        for (int from = 0; from < cold.size(); from++) {
            int to = from;
            while (to < cold.size() && cold.get(to) < cold.get(from) + SECOND) {
                to++;
            }
            double warmth = COLD_FROM + (1 - COLD_FROM) * (cold.get(from) - joined) / WARM_UP;
            double budget = MULTIPLE * warmth * rate * SECOND;
            assertTrue(
                    to - from <= budget + 2 * Math.sqrt(budget) + 2,
                    where
                            + ": "
                            + (to - from)
                            + " calls in one span, "
                            + (cold.get(from) - joined) / 10
                            + " ms after it started, N "
                            + budget);
        }
    }
}
