package cairnbridge.decision;

import cairnbridge.time.Ticks;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** The state that the components of one router share, and references to the components. */
final class RouterContext {
    /** The interval of periodic work. */
    static final long HOUSEKEEPING_INTERVAL = Ticks.SECOND / 10;

    /** The longest retry advice; the dispatcher reduces it to the configured maximum. */
    static final long LONGEST_RETRY_AFTER = Long.MAX_VALUE;

    private static final long WARM_START_HALF_LIFE = 15 * Ticks.SECOND;

    final Settings settings;
    final Host host;
    final MessageLoop loop;
    final RandomGenerator random;
    final LoadReports loadReports;

    /** The state recorded by the previous router. */
    final WarmStartState warmStart;

    final FleetLatency fleetLatency;
    final NodeRegistry registry;
    final HashRing ring;
    final RequestPlacer placer;
    final SlowStartBudget slowStart;
    final Dispatcher dispatcher;
    final OriginLimiter origin;
    final AdmissionControl admission;
    final RequestTable requests;

    private long now;
    private double proxyCount;
    private Placement placement = Placement.ANYWHERE;

    RouterContext(Settings settings, long seed, long now, Host host, WarmStartState warmStart) {
        this.settings = settings;
        this.host = host;
        this.warmStart = warmStart;
        this.now = now;
        proxyCountChanged(settings.proxy().count());
        loop = new MessageLoop(host);
        random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        loadReports = new LoadReports(settings.loadReportColumns());
        fleetLatency = new FleetLatency(this);
        registry = new NodeRegistry(this);
        ring = new HashRing(this);
        placer = new RequestPlacer(this);
        slowStart = new SlowStartBudget(this);
        dispatcher = new Dispatcher(this);
        origin = new OriginLimiter(this);
        admission = new AdmissionControl(this);
        requests = new RequestTable(this);
    }

    long now() {
        return now;
    }

    /** Advances the clock; an earlier time is ignored. */
    void advanceTo(long clock) {
        now = Math.max(now, clock);
    }

    /** The number of proxies by which limits shared by the whole fleet are divided. */
    double proxyCount() {
        return proxyCount;
    }

    void proxyCountChanged(int count) {
        proxyCount = Math.max(1, count);
    }

    Placement placement() {
        return placement;
    }

    void placementChanged(Placement changed) {
        placement = changed;
    }

    /** The weight of the warm start state, which halves every {@code WARM_START_HALF_LIFE}. */
    double warmStartWeight() {
        long age = now - warmStart.recordedAt();
        return age < 0 ? 0 : StrictMath.pow(0.5, (double) age / WARM_START_HALF_LIFE);
    }
}
