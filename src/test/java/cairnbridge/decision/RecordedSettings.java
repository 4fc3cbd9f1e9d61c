package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Tenant;
import java.util.List;

/** The settings of the recorded runs, in three setups that differ in their features. */
final class RecordedSettings {
    /** The number of clock ticks in one second. */
    static final long SECOND = 10_000;

    /** The machine kind of the origin's servers. */
    static final int ORIGIN_KIND = 9;

    /**
     * The setup of one run. The workload is generated from the seed and the components after {@code
     * settings}: the numbers of categories, tenants, zones, proxies and load report columns, the
     * longest latency objective and the longest TTL.
     */
    record RunSetup(
            String name,
            long seed,
            Settings settings,
            int categories,
            int tenants,
            int zones,
            int proxies,
            int reportWidth,
            long latencyObjective,
            long ttl) {
        @Override
        public String toString() {
            return name;
        }
    }

    private RecordedSettings() {}

    /** Returns all setups, in the order of their files. */
    static List<RunSetup> all() {
        return List.of(singleProxy(), manyProxies(), severalZones());
    }

    /** One proxy with a look-aside origin, load reports, tenants with quotas, and slow start. */
    private static RunSetup singleProxy() {
        Settings settings =
                new Settings(
                        new Settings.Proxy(new PeerId(0), new ZoneId(0), 1, 10, 100),
                        new Settings.Origin(true, new MachineKind(ORIGIN_KIND), 3, SECOND),
                        new Settings.Discovery(false, 10 * SECOND),
                        new Settings.SlowStart(0.25, 10 * SECOND, 2, SECOND),
                        new Settings.Attempts(6, true, true, true, false),
                        new Settings.Clients(true, SECOND, true, 0.1),
                        new Settings.Prices(0, 0, 0, 0, 0),
                        List.of("inflight", "qps", "latency_ms", "util"),
                        singleProxyCategories(),
                        List.of(new Tenant(20, 0.5), new Tenant(8, 0.3), new Tenant(0, 0.2)));
        return setup("single", 11, settings, 2);
    }

    private static List<Category> singleProxyCategories() {
        return List.of(
                category(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, SECOND, 1, 0.5, false),
                category(Effect.DEDUPLICATED, DeduplicationScope.ALL_NODES, SECOND, 2, 0, false),
                category(Effect.AT_MOST_ONCE, DeduplicationScope.ALL_NODES, SECOND, 1, 0.2, false),
                category(Effect.IDEMPOTENT, DeduplicationScope.ZONE, SECOND, 0.5, 0, true));
    }

    /**
     * One of many proxies, which subscribes to the endpoint list: no look-aside origin, no hedged
     * requests and no cancellation.
     */
    private static RunSetup manyProxies() {
        Settings settings =
                new Settings(
                        new Settings.Proxy(new PeerId(7), new ZoneId(1), 300, 20, 50),
                        new Settings.Origin(false, new MachineKind(-1), 0, SECOND),
                        new Settings.Discovery(true, 2 * SECOND),
                        new Settings.SlowStart(0.1, 20 * SECOND, 3, 2 * SECOND),
                        new Settings.Attempts(4, false, false, false, true),
                        new Settings.Clients(true, SECOND / 2, false, 0.25),
                        new Settings.Prices(1, 1, 1, 1, 1),
                        List.of("util", "latency_ms"),
                        manyProxiesCategories(),
                        List.of(new Tenant(900, 0.5), new Tenant(300, 0.5)));
        return setup("many", 22, settings, 1);
    }

    private static List<Category> manyProxiesCategories() {
        return List.of(
                category(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, SECOND, 1, 0.5, false),
                category(Effect.IDEMPOTENT, DeduplicationScope.CELL, SECOND, 3, 0, true),
                category(Effect.DEDUPLICATED, DeduplicationScope.CELL, SECOND, 1, 0.5, false));
    }

    /**
     * Several zones, with deduplicated and at-most-once requests, short deduplication windows, no
     * retry advice and no slow start.
     */
    private static RunSetup severalZones() {
        Settings settings =
                new Settings(
                        new Settings.Proxy(new PeerId(1), new ZoneId(2), 12, 10, 100),
                        new Settings.Origin(true, new MachineKind(ORIGIN_KIND), 2, SECOND / 2),
                        new Settings.Discovery(false, 5 * SECOND),
                        new Settings.SlowStart(1, 0, 0, SECOND),
                        new Settings.Attempts(8, true, true, true, true),
                        new Settings.Clients(false, 0, true, 0.5),
                        new Settings.Prices(0.1, 0, 0, 0, 0),
                        List.of(),
                        severalZonesCategories(),
                        List.of());
        return setup("zones", 33, settings, 3);
    }

    private static List<Category> severalZonesCategories() {
        return List.of(
                category(
                        Effect.DEDUPLICATED,
                        DeduplicationScope.ALL_NODES,
                        SECOND / 5,
                        1,
                        0.5,
                        false),
                category(Effect.DEDUPLICATED, DeduplicationScope.ZONE, SECOND / 5, 2, 0, true),
                category(Effect.DEDUPLICATED, DeduplicationScope.CELL, SECOND / 5, 1, 0, false),
                category(Effect.AT_MOST_ONCE, DeduplicationScope.ZONE, SECOND / 5, 1, 0.5, false),
                category(Effect.AT_MOST_ONCE, DeduplicationScope.CELL, SECOND / 5, 0.5, 0, true),
                category(Effect.IDEMPOTENT, DeduplicationScope.ZONE, SECOND / 5, 1, 0.5, false));
    }

    private static RunSetup setup(String name, long seed, Settings settings, int zones) {
        return new RunSetup(
                name,
                seed,
                settings,
                settings.categories().size(),
                Math.max(1, settings.tenants().size()),
                zones,
                settings.proxy().count(),
                settings.loadReportColumns().size(),
                SECOND / 2,
                2 * SECOND);
    }

    private static Category category(
            Effect effect,
            DeduplicationScope scope,
            long deduplicationWindow,
            double priorityWeight,
            double latePriorityWeight,
            boolean isStreamed) {
        return new Category(
                effect,
                scope,
                deduplicationWindow,
                SECOND / 2,
                0,
                2 * SECOND,
                priorityWeight,
                latePriorityWeight,
                isStreamed);
    }
}
