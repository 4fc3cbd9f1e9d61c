package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * Limits the attempts sent to a server in slow start: within one window, to its share of the
 * attempts that a warm server is sent.
 */
final class SlowStartBudget {
    private static final double UNLIMITED = 1e9;
    private static final double MIN_MULTIPLE = 0.5;

    /** The time constant of the decay of {@code sent}, in windows. */
    private static final double SENT_DECAY_WINDOWS = 3.0;

    private final RouterContext context;
    private final double initialShare;
    private final long duration;
    private final double loadMultiple;
    private final long window;
    private final long createdAt;

    /** The number of attempts sent to caches, decayed exponentially. */
    private double sent;

    private long sentUpdatedAt;

    SlowStartBudget(RouterContext context) {
        this.context = context;
        Settings.SlowStart settings = context.settings.slowStart();
        initialShare = settings.initialShare();
        duration = settings.duration();
        double overload = settings.overloadMultiple();
        loadMultiple = overload > 0 ? Math.max(MIN_MULTIPLE, overload / 2) : UNLIMITED;
        window = Math.max(1, settings.overloadWindow());
        createdAt = context.now();
    }

    /** The configured window over which the load of a server is measured. */
    long window() {
        return window;
    }

    /** Returns the share of its capacity that a server has reached, 1 once slow start is over. */
    double warmth(ServerNode node) {
        long startedAt = node.startedAt();
        long now = context.now();
        if (startedAt <= 0 || duration <= 0 || now >= startedAt + duration) {
            return 1;
        }
        return initialShare + (1 - initialShare) * Math.max(0, now - startedAt) / duration;
    }

    /** Whether another attempt may be sent to a server now. */
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
     * Guards against a total load of one attempt per proxy and window, which hundreds of proxies
     * would send if each budget were rounded up to one: a fractional attempt is granted with that
     * probability, and unused fractions accumulate over the windows.
     */
    private void beginWindow(ServerNode node, double warmth) {
        long now = context.now();
        long length = Math.min(RouterContext.HOUSEKEEPING_INTERVAL, window);
        double windows = 1 + (double) (now - node.slowStartWindow().endsAt()) / length;
        double budget = loadMultiple * warmth * sendsPerWindow() * node.weight() * length / window;
        double attempts = Math.max(budget, Math.min(1, budget * windows));
        node.slowStartWindow().begin((int) (attempts + context.random.nextDouble()), now + length);
    }

    void attemptSent(ServerNode node) {
        node.slowStartWindow().attemptSent();
        sendsPerWindow();
        sent += node.isOnRing() ? 1 : 0;
    }

    /**
     * Returns the number of attempts that a cache is sent per window and unit of open weight. A new
     * router averages over the time since its creation and also uses its warm start state.
     */
    double sendsPerWindow() {
        long now = context.now();
        double decayTime = SENT_DECAY_WINDOWS * window;
        sent *= StrictMath.exp((sentUpdatedAt - now) / decayTime);
        sentUpdatedAt = now;
        long age = now - createdAt;
        double observedShare =
                1 - StrictMath.exp(-Math.max(RouterContext.HOUSEKEEPING_INTERVAL, age) / decayTime);
        // Guards against a budget near zero when all caches are cold, so that there is no warm
        // cache's rate to take a share of: the rate from the warm start state is the lower bound.
        double warmStart =
                age < duration ? context.warmStart.sendsPerSecond() * window / Ticks.SECOND : 0;
        double openWeight = Math.max(1, context.ring.openWeight());
        return Math.max(warmStart, sent / observedShare * window / decayTime / openWeight);
    }
}
