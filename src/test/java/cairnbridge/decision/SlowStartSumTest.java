package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.SECOND;
import static cairnbridge.decision.FakeHost.endpoint;
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
 * Measures the attempts that all proxies together send to one cold cache. Guards against
 * overloading the cache through budgets that each proxy computes for itself and whose sum is too
 * large, because each is rounded at random and starts anew with a restart. In any window with a
 * permitted number of N attempts, random rounding may add at most 2 * sqrt(N) + 2. N follows from
 * the settings, where the capacity of a warm cache is taken to be no more than the rate it is sent.
 */
class SlowStartSumTest {
    private static final int CACHES = 20;
    private static final int COLD_CACHE = 21;
    private static final long STEP = SECOND / 100;
    private static final long TIME_BEFORE_JOIN = 6 * SECOND;
    private static final long TIME_AFTER_JOIN = 9 * SECOND;

    /**
     * FakeHost's settings for slow start: the multiple of its capacity that a cold cache can
     * handle, its initial share and its duration.
     */
    private static final double OVERLOAD_MULTIPLE = 2;

    private static final double INITIAL_SHARE = 0.25;
    private static final double SLOW_START_DURATION = 10 * SECOND;

    private record OpenAttempt(
            FakeHost.SentAttempt attempt, long sentAt, long endsAt, AttemptOutcome outcome) {}

    /** One proxy with its own part of the traffic; a restart replaces its host. */
    private static final class SimulatedProxy {
        final double requestRate;
        final List<OpenAttempt> openAttempts = new ArrayList<>();
        FakeHost host;
        int attemptsSeen;

        SimulatedProxy(FakeHost host, double requestRate) {
            this.host = host;
            this.requestRate = requestRate;
        }
    }

    /**
     * Runs fleets of the configured size, and fleets whose configured number of proxies is too high
     * or too low. The columns are the numbers of live, configured and restarted proxies.
     */
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
    void allProxiesTogetherKeepAColdCacheWithinItsBudget(int live, int configured, int restarted) {
        int total = 0;
        int coldTotal = 0;
        for (long seed = 1; seed <= 8; seed++) {
            RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
            List<SimulatedProxy> fleet = new ArrayList<>();
            for (int i = 0; i < live; i++) {
                // Some proxies get several times the mean request rate.
                double rate =
                        400.0 / live * (0.4 + 1.2 * random.nextDouble()) * (i % 9 == 0 ? 3 : 0.75);
                fleet.add(new SimulatedProxy(host(configured, seed * 1000 + i), rate));
            }
            long start = fleet.get(0).host.clock;
            long joinedAt = start + TIME_BEFORE_JOIN;
            long id = 0;
            List<Long> coldAttemptTimes = new ArrayList<>();
            int warmAttempts = 0;
            for (long now = start; now < joinedAt + TIME_AFTER_JOIN; now += STEP) {
                for (int i = 0; i < live; i++) {
                    SimulatedProxy proxy = fleet.get(i);
                    if (now == joinedAt) {
                        proxy.host.changeEndpoints(endpoint(COLD_CACHE, NodeState.READY, joinedAt));
                    } else if (i < restarted && now == joinedAt + (1 + i % 5) * SECOND) {
                        proxy.host = host(configured, seed * 7000 + i);
                        proxy.host.clock = now;
                        proxy.host.changeEndpoints(endpoint(COLD_CACHE, NodeState.READY, joinedAt));
                        proxy.openAttempts.clear();
                        proxy.attemptsSeen = 0;
                    }
                    proxy.host.advance(now - proxy.host.clock);
                    endDueAttempts(proxy, now);
                    for (double due = proxy.requestRate / 100; due > random.nextDouble(); due--) {
                        proxy.host.request(++id, random.nextLong(5000), SECOND);
                    }
                    for (; proxy.attemptsSeen < proxy.host.attempts.size(); proxy.attemptsSeen++) {
                        FakeHost.SentAttempt attempt = proxy.host.attempts.get(proxy.attemptsSeen);
                        if (attempt.node() == COLD_CACHE) {
                            coldAttemptTimes.add(now);
                        } else if (attempt.node() <= CACHES && now < joinedAt) {
                            warmAttempts++;
                        }
                        proxy.openAttempts.add(randomOpenAttempt(attempt, now, random));
                    }
                }
            }
            coldTotal += coldAttemptTimes.size();
            total = (int) (total + id);
            double rate =
                    (double) warmAttempts
                            / CACHES
                            / TIME_BEFORE_JOIN; // Attempts at a warm cache per tick (0.1 ms).
            assertWithinBudget(coldAttemptTimes, joinedAt, rate, "seed " + seed);
        }
        assertTrue(
                coldTotal > total / 200,
                "the cold cache gets too few requests: " + coldTotal + " of " + total);
    }

    private static FakeHost host(int configured, long seed) {
        return new FakeHost(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, true, configured, seed)
                .listCaches(CACHES);
    }

    /**
     * Chooses an outcome: most attempts succeed, some take so long that a hedged request is sent,
     * and some lose their connection or fail to connect.
     */
    private static OpenAttempt randomOpenAttempt(
            FakeHost.SentAttempt attempt, long now, RandomGenerator random) {
        double roll = random.nextDouble();
        AttemptOutcome outcome =
                roll < 0.03
                        ? AttemptOutcome.CONNECTION_LOST
                        : roll < 0.06 ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.SUCCESS;
        long duration = roll > 0.95 ? SECOND / 3 : SECOND / 100 + random.nextLong(SECOND / 50);
        return new OpenAttempt(attempt, now, now + duration, outcome);
    }

    private static void endDueAttempts(SimulatedProxy proxy, long now) {
        for (OpenAttempt open : List.copyOf(proxy.openAttempts)) {
            if (open.endsAt <= now) {
                proxy.openAttempts.remove(open);
                proxy.host.handle(
                        new Event.AttemptEnded(
                                new RequestId(open.attempt.request()),
                                open.attempt.attempt(),
                                new NodeId(open.attempt.node()),
                                open.outcome,
                                0,
                                now - open.sentAt,
                                open.outcome == AttemptOutcome.SUCCESS,
                                null));
            }
        }
    }

    /**
     * Checks every interval of one window's length, also those that overlap two of the router's
     * windows: a burst across their boundary would overload the cache as well.
     */
    private static void assertWithinBudget(
            List<Long> coldAttemptTimes, long joinedAt, double rate, String run) {
        for (int from = 0; from < coldAttemptTimes.size(); from++) {
            int to = from;
            while (to < coldAttemptTimes.size()
                    && coldAttemptTimes.get(to) < coldAttemptTimes.get(from) + SECOND) {
                to++;
            }
            double warmth =
                    INITIAL_SHARE
                            + (1 - INITIAL_SHARE)
                                    * (coldAttemptTimes.get(from) - joinedAt)
                                    / SLOW_START_DURATION;
            double budget = OVERLOAD_MULTIPLE * warmth * rate * SECOND;
            assertTrue(
                    to - from <= budget + 2 * Math.sqrt(budget) + 2,
                    run
                            + ": "
                            + (to - from)
                            + " attempts in one window, "
                            + (coldAttemptTimes.get(from) - joinedAt) / 10
                            + " ms after the cache started, budget "
                            + budget);
        }
    }
}
