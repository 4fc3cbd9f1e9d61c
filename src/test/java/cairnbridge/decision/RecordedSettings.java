package cairnbridge.decision;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Tenant;
import java.util.List;

/** The settings of the recorded runs: three of different shape. */
final class RecordedSettings {
    /** Ticks of the clock in one second. */
    static final long SECOND = 10_000;

    /** The machine kind of the shared store behind the caches. */
    static final int STORE_KIND = 9;

    /**
     * What one run is made of. The workload goes by the plain figures: numbers of categories,
     * tenants, zones, proxies and report columns, the longest target and the longest TTL.
     */
    record Shape(
            String name,
            long seed,
            Settings settings,
            int categories,
            int tenants,
            int zones,
            int proxies,
            int reportWidth,
            long target,
            long ttl) {
        @Override
        public String toString() {
            return name;
        }
    }

    private RecordedSettings() {}

    /** All shapes, in the order of their files. */
    static List<Shape> all() {
        return List.of(single(), many(), zones());
    }

    /** One proxy, a store beside the caches, reports, tenants with quotas and slow start. */
    private static Shape single() {
        Settings settings =
                new Settings(
                        new Settings.Proxy(new PeerId(0), new ZoneId(0), 1, 10, 100),
                        new Settings.Origin(true, new MachineKind(STORE_KIND), 3, SECOND),
                        new Settings.Discovery(false, 10 * SECOND),
                        new Settings.SlowStart(0.25, 10 * SECOND, 2, SECOND),
                        new Settings.Attempts(6, true, true, true, false),
                        new Settings.Clients(true, SECOND, true, 0.1),
                        new Settings.Prices(0, 0, 0, 0, 0),
                        List.of("inflight", "qps", "latency_ms", "util"),
                        singleCategories(),
                        List.of(new Tenant(20, 0.5), new Tenant(8, 0.3), new Tenant(0, 0.2)));
        return shape("single", 11, settings, 2);
    }

    private static List<Category> singleCategories() {
        return List.of(
                category(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, SECOND, 1, 0.5, false),
                category(Effect.DEDUPLICATED, DeduplicationScope.ALL_NODES, SECOND, 2, 0, false),
                category(Effect.AT_MOST_ONCE, DeduplicationScope.ALL_NODES, SECOND, 1, 0.2, false),
                category(Effect.IDEMPOTENT, DeduplicationScope.ZONE, SECOND, 0.5, 0, true));
    }

    /** One of many proxies: nothing beside the caches, no second copies, no cancel, subscribes. */
    private static Shape many() {
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
                        manyCategories(),
                        List.of(new Tenant(900, 0.5), new Tenant(300, 0.5)));
        return shape("many", 22, settings, 1);
    }

    private static List<Category> manyCategories() {
        return List.of(
                category(Effect.IDEMPOTENT, DeduplicationScope.ALL_NODES, SECOND, 1, 0.5, false),
                category(Effect.IDEMPOTENT, DeduplicationScope.CELL, SECOND, 3, 0, true),
                category(Effect.DEDUPLICATED, DeduplicationScope.CELL, SECOND, 1, 0.5, false));
    }

    /** Zones, requests that may not run twice, short windows, no retry advice, no warm-up. */
    private static Shape zones() {
        Settings settings =
                new Settings(
                        new Settings.Proxy(new PeerId(1), new ZoneId(2), 12, 10, 100),
                        new Settings.Origin(true, new MachineKind(STORE_KIND), 2, SECOND / 2),
                        new Settings.Discovery(false, 5 * SECOND),
                        new Settings.SlowStart(1, 0, 0, SECOND),
                        new Settings.Attempts(8, true, true, true, true),
                        new Settings.Clients(false, 0, true, 0.5),
                        new Settings.Prices(0.1, 0, 0, 0, 0),
                        List.of(),
                        zonesCategories(),
                        List.of());
        return shape("zones", 33, settings, 3);
    }

    private static List<Category> zonesCategories() {
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

    private static Shape shape(String name, long seed, Settings settings, int zones) {
        return new Shape(
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
            DeduplicationScope group,
            long memory,
            double benefit,
            double lateBenefit,
            boolean stream) {
        return new Category(
                effect, group, memory, SECOND / 2, 0, 2 * SECOND, benefit, lateBenefit, stream);
    }
}
