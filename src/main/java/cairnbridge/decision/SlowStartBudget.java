package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * Bounds what a server in slow start is sent: within one window no more than its share of what a
 * warm one is sent.
 */
final class SlowStartBudget {
    private static final double UNLIMITED = 1e9;
    private static final double MIN_MULTIPLE = 0.5;

    /** What was sent counts for this many windows. */
    private static final double MEMORY_WINDOWS = 3.0;

    private final RouterContext context;
    private final double initialShare;
    private final long duration;
    private final double multiple;
    private final long window;
    private final long createdAt;

    /** Attempts sent to caches, of which what is old counts less. */
    private double sent;

    private long countedAt;

    SlowStartBudget(RouterContext context) {
        this.context = context;
        Settings.SlowStart settings = context.settings.slowStart();
        initialShare = settings.initialShare();
        duration = settings.duration();
        double overload = settings.overloadMultiple();
        multiple = overload > 0 ? Math.max(MIN_MULTIPLE, overload / 2) : UNLIMITED;
        window = Math.max(1, settings.overloadWindow());
        createdAt = context.now();
    }

    /** The window over which the settings count a server's requests. */
    long window() {
        return window;
    }

    /** The share of its capacity that a server has by now, 1 once it is warm. */
    double warmth(ServerNode node) {
        long startedAt = node.startedAt();
        long now = context.now();
        if (startedAt <= 0 || duration <= 0 || now >= startedAt + duration) {
            return 1;
        }
        return initialShare + (1 - initialShare) * Math.max(0, now - startedAt) / duration;
    }

    /** Whether one more attempt may be sent to a server. */
    boolean hasCapacity(ServerNode node) {
        double warmth = warmth(node);
        if (warmth >= 1) {
            return true;
        }
        if (node.slowStartWindow().hasEnded(context.now())) {
            beginWindow(node, warmth);
        }
        return node.slowStartWindow().hasRemaining();
    }

    /**
     * Guards against a least of one at hundreds of proxies: a part of an attempt is a chance, and
     * adds up while it is not used.
     */
    private void beginWindow(ServerNode node, double warmth) {
        long now = context.now();
        long length = Math.min(RouterContext.HOUSEKEEPING_INTERVAL, window);
        double windows = 1 + (double) (now - node.slowStartWindow().endsAt()) / length;
        double budget = multiple * warmth * sendsPerWindow() * node.weight() * length / window;
        double attempts = Math.max(budget, Math.min(1, budget * windows));
        node.slowStartWindow().begin((int) (attempts + context.random.nextDouble()), now + length);
    }

    void attemptSent(ServerNode node) {
        node.slowStartWindow().attemptSent();
        sendsPerWindow();
        sent += node.isOnRing() ? 1 : 0;
    }

    /**
     * What a cache is sent in one window for its open weight; a new router goes by all that it has
     * sent yet, and by its warm start.
     */
    double sendsPerWindow() {
        long now = context.now();
        double memory = MEMORY_WINDOWS * window;
        sent *= Math.exp((countedAt - now) / memory);
        countedAt = now;
        long age = now - createdAt;
        double seen = 1 - Math.exp(-Math.max(RouterContext.HOUSEKEEPING_INTERVAL, age) / memory);
        // Guards against caches that all are cold, so that no share of a warm one's would ever be
        // anything.
        double warmStart =
                age < duration ? context.warmStart.sendsPerSecond() * window / Ticks.SECOND : 0;
        double openWeight = Math.max(1, context.ring.openWeight());
        return Math.max(warmStart, sent / seen * window / memory / openWeight);
    }
}
