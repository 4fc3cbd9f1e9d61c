package cairnbridge.decision;

import cairnbridge.decision.RecordedRouter.Arrival;
import cairnbridge.decision.RecordedRouter.AttemptEnd;
import cairnbridge.decision.RecordedRouter.RecordedOutcome;
import cairnbridge.decision.RecordedSettings.RunSetup;
import cairnbridge.decision.RecordingHost.SentAttempt;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Drives a router with events of every kind. Its choices depend only on its seed and on the
 * router's calls on the host.
 */
final class RouterWorkload {
    private static final int STEPS = 3_000;
    private static final int STEPS_PER_PHASE = 300;
    private static final int KEYS = 150;
    private static final long START = 100 * RecordedSettings.SECOND;

    private final RunSetup setup;
    private final Random random;
    private final RecordedRouter router;
    private final WorkloadNodes nodes;

    /** The attempts that ended last; the end of some is reported again. */
    private final List<SentAttempt> recentlyEnded = new ArrayList<>();

    private long lastRequest;

    /**
     * The parameters of the current phase: the desired number of open attempts, the longest time
     * between events, and the share of failures.
     */
    private int targetOpenAttempts;

    private int maxGap;
    private double failureShare;

    private RouterWorkload(RunSetup setup) {
        this.setup = setup;
        random = new Random(setup.seed());
        router = new RecordedRouter(setup.settings(), setup.seed(), START);
        nodes = new WorkloadNodes(setup, random, router);
    }

    /** Returns the transcript of a whole run of this setup. */
    static RunTranscript run(RunSetup setup) {
        RouterWorkload workload = new RouterWorkload(setup);
        workload.nodes.listAll(RecordedRouter.RecordedScope.CACHED);
        for (int step = 0; step < STEPS; step++) {
            workload.step(step);
        }
        workload.shutDown();
        return workload.router.transcript();
    }

    private void step(int step) {
        if (step % STEPS_PER_PHASE == 0) {
            targetOpenAttempts = pick(2, 6, 15, 40);
            maxGap = pick(20, 80, 250, 500);
            failureShare = pick(0, 10, 35) / 100.0;
        }
        if (step == STEPS / 2) {
            router.replaceRouter(setup.seed() + 1, 3_000);
            nodes.listAll(RecordedRouter.RecordedScope.CACHED);
        }
        router.advance(random.nextInt(maxGap));
        int roll = random.nextInt(1_000);
        if (roll < 840) {
            arriveOrEnd();
        } else if (roll < 900) {
            irregularEvent();
        } else if (roll < 960) {
            nodes.randomChange();
        } else {
            rareEvent();
        }
    }

    private void arriveOrEnd() {
        int open = router.host().openAttempts().size();
        if (open > 0 && random.nextInt(targetOpenAttempts + open) < open) {
            endAttempt(router.host().openAttempts().get(random.nextInt(open)));
        } else {
            arrive();
        }
    }

    private void arrive() {
        long now = router.host().clock();
        long ttl = setup.ttl();
        long deadline =
                now + (oneIn(8) ? random.nextInt((int) ttl / 10) : ttl - random.nextInt(500));
        router.requestArrived(
                new Arrival(
                        ++lastRequest,
                        random.nextInt(setup.categories() + (oneIn(40) ? 1 : 0)),
                        random.nextInt(setup.tenants()),
                        randomKey(),
                        deadline,
                        oneIn(5) ? random.nextInt(1_000) : 0,
                        oneIn(5) ? random.nextInt(9_000) : -1,
                        oneIn(10),
                        oneIn(12)));
    }

    /** Returns no key, one of a few hot keys, or one of many keys. */
    private long randomKey() {
        if (oneIn(10)) {
            return -1;
        }
        return oneIn(3) ? random.nextInt(3) : random.nextInt(KEYS);
    }

    private void endAttempt(SentAttempt attempt) {
        RecordedOutcome outcome = randomOutcome(attempt);
        boolean isAnswered = outcome == RecordedOutcome.SUCCESS;
        router.attemptEnded(
                new AttemptEnd(
                        attempt,
                        outcome,
                        isAnswered ? 1 + random.nextInt(3) : 0,
                        randomDuration(attempt, outcome),
                        isAnswered || oneIn(60),
                        randomLoadReport(attempt.node())));
        recentlyEnded.add(attempt);
        if (recentlyEnded.size() > 30) {
            recentlyEnded.remove(0);
        }
    }

    private RecordedOutcome randomOutcome(SentAttempt attempt) {
        if (router.host().isCancelled(attempt) && !oneIn(5)) {
            return RecordedOutcome.CANCELLED;
        }
        if (oneIn(5) && !WorkloadNodes.isOrigin(attempt.node())) {
            return RecordedOutcome.CACHE_MISS;
        }
        if (random.nextDouble() >= failureShare) {
            return RecordedOutcome.SUCCESS;
        }
        RecordedOutcome[] failures = {
            RecordedOutcome.ERROR,
            RecordedOutcome.OVERLOADED,
            RecordedOutcome.TIMED_OUT,
            RecordedOutcome.CONNECT_FAILED,
            RecordedOutcome.CONNECTION_LOST,
            RecordedOutcome.CANCELLED,
            RecordedOutcome.NOT_SENT
        };
        return failures[random.nextInt(failures.length)];
    }

    /**
     * Returns the time since the attempt was sent, or else a short duration, or one far beyond the
     * latency objective.
     */
    private long randomDuration(SentAttempt attempt, RecordedOutcome outcome) {
        if (oneIn(15) || outcome == RecordedOutcome.TIMED_OUT) {
            return setup.latencyObjective() + random.nextInt((int) setup.latencyObjective());
        }
        long elapsed = router.host().clock() - attempt.sentAt();
        return oneIn(3) ? Math.min(elapsed, 20 + random.nextInt(200)) : Math.max(1, elapsed);
    }

    /**
     * Returns a load report, with higher values for the slower machine kind. Some reports are
     * missing or malformed.
     */
    private double[] randomLoadReport(long node) {
        if (setup.reportWidth() == 0 ? !oneIn(50) : oneIn(6)) {
            return null;
        }
        double[] loadReport = new double[setup.reportWidth()];
        for (int i = 0; i < loadReport.length; i++) {
            int max = WorkloadNodes.isSlow(node) ? 60 : 20;
            loadReport[i] = (1 + random.nextInt(max)) / (i % 2 == 0 ? 64.0 : 0.5);
        }
        if (oneIn(12)) {
            return new double[loadReport.length + (loadReport.length > 0 && oneIn(2) ? -1 : 1)];
        }
        if (loadReport.length > 0 && oneIn(12)) {
            double[] invalidValues = {Double.NaN, Double.POSITIVE_INFINITY, -1, 0};
            loadReport[random.nextInt(loadReport.length)] =
                    invalidValues[random.nextInt(invalidValues.length)];
        }
        return loadReport;
    }

    /**
     * Creates ends of attempts that have ended or never existed, streamed responses, and
     * disconnecting clients.
     */
    private void irregularEvent() {
        List<SentAttempt> open = router.host().openAttempts();
        SentAttempt attempt =
                open.isEmpty() || oneIn(8)
                        ? new SentAttempt(
                                lastRequest + 7, random.nextInt(2), nodes.randomNode(), START)
                        : open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                SentAttempt endedBefore =
                        recentlyEnded.isEmpty()
                                ? attempt
                                : recentlyEnded.get(random.nextInt(recentlyEnded.size()));
                endAttempt(
                        oneIn(5)
                                ? new SentAttempt(lastRequest + 9, 0, nodes.randomNode(), START)
                                : endedBefore);
            }
            case 1 -> router.streamingStarted(attempt, 1 + random.nextInt(500));
            case 2 -> router.requestCancelled(oneIn(4) ? lastRequest + 5 : attempt.request());
            default -> arrive();
        }
    }

    private void rareEvent() {
        switch (random.nextInt(5)) {
            case 0 ->
                    router.liveProxyCountChanged(
                            Math.max(0, setup.proxies() * (90 + random.nextInt(20)) / 100));
            case 1 -> router.nodeSuspected(nodes.randomNode());
            case 2 ->
                    router.healthCheckEnded(
                            nodes.randomNode(),
                            oneIn(2) ? RecordedOutcome.SUCCESS : RecordedOutcome.CONNECTION_LOST,
                            random.nextInt(900),
                            randomLoadReport(1));
            case 3 -> router.peerMessageReceived(random.nextInt(9), new byte[random.nextInt(20)]);
            default -> nodes.changePlacement();
        }
    }

    /** Announces a shutdown; some attempts end before its deadline, and the rest stay open. */
    private void shutDown() {
        router.shutdownScheduled(router.host().clock() + setup.latencyObjective());
        for (int i = 0; i < 20; i++) {
            router.advance(setup.latencyObjective() / 10);
            arriveOrEnd();
        }
        router.advance(2 * setup.ttl());
        router.recordWarmStartState();
    }

    private boolean oneIn(int n) {
        return random.nextInt(n) == 0;
    }

    private int pick(int... values) {
        return values[random.nextInt(values.length)];
    }
}
