package cairnbridge.decision;

import cairnbridge.decision.RecordedRouter.Arrival;
import cairnbridge.decision.RecordedRouter.End;
import cairnbridge.decision.RecordedRouter.How;
import cairnbridge.decision.RecordedSettings.Shape;
import cairnbridge.decision.RecordingHost.Sent;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Drives a router through events of every kind. Its choices hang on its seed and on what the router
 * asked of the host, and on nothing else.
 */
final class RouterWorkload {
    private static final int STEPS = 3_000;
    private static final int PHASE = 300;
    private static final int KEYS = 150;
    private static final long START = 100 * RecordedSettings.SECOND;

    private final Shape shape;
    private final Random random;
    private final RecordedRouter router;
    private final WorkloadNodes nodes;

    /** The latest ends, of which some are told again. */
    private final List<Sent> ended = new ArrayList<>();

    private long lastRequest;

    /**
     * In this phase: attempts wanted open, the longest gap between events, the share of bad ends.
     */
    private int wanted;

    private int gap;
    private double bad;

    private RouterWorkload(Shape shape) {
        this.shape = shape;
        random = new Random(shape.seed());
        router = new RecordedRouter(shape.settings(), shape.seed(), START);
        nodes = new WorkloadNodes(shape, random, router);
    }

    /** The transcript of a whole run of this shape. */
    static RunTranscript run(Shape shape) {
        RouterWorkload workload = new RouterWorkload(shape);
        workload.nodes.listsAll(RecordedRouter.Listing.CACHED);
        for (int step = 0; step < STEPS; step++) {
            workload.step(step);
        }
        workload.stops();
        return workload.router.transcript();
    }

    private void step(int step) {
        if (step % PHASE == 0) {
            wanted = pick(2, 6, 15, 40);
            gap = pick(20, 80, 250, 500);
            bad = pick(0, 10, 35) / 100.0;
        }
        if (step == STEPS / 2) {
            router.restarts(shape.seed() + 1, 3_000);
            nodes.listsAll(RecordedRouter.Listing.CACHED);
        }
        router.pass(random.nextInt(gap));
        int dice = random.nextInt(1_000);
        if (dice < 840) {
            traffic();
        } else if (dice < 900) {
            oddTraffic();
        } else if (dice < 960) {
            nodes.change();
        } else {
            rareNews();
        }
    }

    private void traffic() {
        int open = router.host().open().size();
        if (open > 0 && random.nextInt(wanted + open) < open) {
            ends(router.host().open().get(random.nextInt(open)));
        } else {
            arrives();
        }
    }

    private void arrives() {
        long now = router.host().clock();
        long ttl = shape.ttl();
        long expires =
                now + (oneIn(8) ? random.nextInt((int) ttl / 10) : ttl - random.nextInt(500));
        router.arrives(
                new Arrival(
                        ++lastRequest,
                        random.nextInt(shape.categories() + (oneIn(40) ? 1 : 0)),
                        random.nextInt(shape.tenants()),
                        key(),
                        expires,
                        oneIn(5) ? random.nextInt(1_000) : 0,
                        oneIn(5) ? random.nextInt(9_000) : -1,
                        oneIn(10),
                        oneIn(12)));
    }

    /** None, one of few hot keys, or one of many. */
    private long key() {
        if (oneIn(10)) {
            return -1;
        }
        return oneIn(3) ? random.nextInt(3) : random.nextInt(KEYS);
    }

    private void ends(Sent sent) {
        How how = how(sent);
        boolean answered = how == How.ANSWERED;
        router.ends(
                new End(
                        sent,
                        how,
                        answered ? 1 + random.nextInt(3) : 0,
                        took(sent, how),
                        answered || oneIn(60),
                        report(sent.node())));
        ended.add(sent);
        if (ended.size() > 30) {
            ended.remove(0);
        }
    }

    private How how(Sent sent) {
        if (router.host().wasCancelled(sent) && !oneIn(5)) {
            return How.CALLED_OFF;
        }
        if (oneIn(5) && !WorkloadNodes.isStore(sent.node())) {
            return How.MISS;
        }
        if (random.nextDouble() >= bad) {
            return How.ANSWERED;
        }
        How[] others = {
            How.ERROR,
            How.FULL,
            How.TIMED_OUT,
            How.NO_CONNECTION,
            How.BROKEN,
            How.CALLED_OFF,
            How.NEVER_SENT
        };
        return others[random.nextInt(others.length)];
    }

    /** As the clock has it; else a quick one, or one far beyond the target. */
    private long took(Sent sent, How how) {
        if (oneIn(15) || how == How.TIMED_OUT) {
            return shape.target() + random.nextInt((int) shape.target());
        }
        long past = router.host().clock() - sent.at();
        return oneIn(3) ? Math.min(past, 20 + random.nextInt(200)) : Math.max(1, past);
    }

    /** Load as a node tells it, slower on the other machine kind; some are absent or malformed. */
    private double[] report(long node) {
        if (shape.reportWidth() == 0 ? !oneIn(50) : oneIn(6)) {
            return null;
        }
        double[] report = new double[shape.reportWidth()];
        for (int i = 0; i < report.length; i++) {
            int most = WorkloadNodes.isSlow(node) ? 60 : 20;
            report[i] = (1 + random.nextInt(most)) / (i % 2 == 0 ? 64.0 : 0.5);
        }
        if (oneIn(12)) {
            return new double[report.length + (report.length > 0 && oneIn(2) ? -1 : 1)];
        }
        if (report.length > 0 && oneIn(12)) {
            double[] wrong = {Double.NaN, Double.POSITIVE_INFINITY, -1, 0};
            report[random.nextInt(report.length)] = wrong[random.nextInt(wrong.length)];
        }
        return report;
    }

    /** Ends of what ended or never was, streams, and clients that go away. */
    private void oddTraffic() {
        List<Sent> open = router.host().open();
        Sent any =
                open.isEmpty() || oneIn(8)
                        ? new Sent(lastRequest + 7, random.nextInt(2), nodes.any(), START)
                        : open.get(random.nextInt(open.size()));
        switch (random.nextInt(4)) {
            case 0 -> {
                Sent again = ended.isEmpty() ? any : ended.get(random.nextInt(ended.size()));
                ends(oneIn(5) ? new Sent(lastRequest + 9, 0, nodes.any(), START) : again);
            }
            case 1 -> router.streams(any, 1 + random.nextInt(500));
            case 2 -> router.drops(oneIn(4) ? lastRequest + 5 : any.request());
            default -> arrives();
        }
    }

    private void rareNews() {
        switch (random.nextInt(5)) {
            case 0 ->
                    router.proxies(Math.max(0, shape.proxies() * (90 + random.nextInt(20)) / 100));
            case 1 -> router.doubts(nodes.any());
            case 2 ->
                    router.probed(
                            nodes.any(),
                            oneIn(2) ? How.ANSWERED : How.BROKEN,
                            random.nextInt(900),
                            report(1));
            case 3 -> router.peerSays(random.nextInt(9), new byte[random.nextInt(20)]);
            default -> nodes.placement();
        }
    }

    /** The proxy is told to end; some attempts end before, and the rest stay open. */
    private void stops() {
        router.stopBy(router.host().clock() + shape.target());
        for (int i = 0; i < 20; i++) {
            router.pass(shape.target() / 10);
            traffic();
        }
        router.pass(2 * shape.ttl());
        router.writesLearnt();
    }

    private boolean oneIn(int many) {
        return random.nextInt(many) == 0;
    }

    private int pick(int... values) {
        return values[random.nextInt(values.length)];
    }
}
