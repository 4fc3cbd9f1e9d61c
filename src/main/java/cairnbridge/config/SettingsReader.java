package cairnbridge.config;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.DeduplicationScope;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Prices;
import cairnbridge.decision.Settings.Tenant;
import cairnbridge.time.Ticks;
import java.util.List;

/**
 * Reads the settings of the decision module. Unknown keys are ignored, and absent keys have
 * defaults. {@link SettingsValidator} must have checked the values before.
 */
public final class SettingsReader {
    private static final double DEFAULT_TTL_SECONDS = 1.0;

    /**
     * Guards against rounding 0.0003 s down to 2 ticks: as a binary fraction it is 2.9999 ticks.
     */
    private static final double ROUNDING = 1e-6;

    private final JsonObject root;

    private SettingsReader(JsonObject root) {
        this.root = root;
    }

    /** Reads the settings of the decision module from the settings object. */
    public static Settings read(JsonObject root) {
        return new SettingsReader(root).settings();
    }

    private Settings settings() {
        return new Settings(
                proxy(),
                origin(),
                discovery(),
                slowStart(),
                attempts(),
                clients(),
                prices(root.object("prices")),
                root.object("load-info").texts("columns"),
                categories(),
                tenants());
    }

    private Settings.Proxy proxy() {
        return new Settings.Proxy(
                new PeerId((int) root.number("me", 0)),
                new ZoneId((int) root.number("zone", 0)),
                (int) root.number("instances", 1),
                toTicksRoundedUp(root.number("granularity-s", 0.001)),
                ticks(root.object("rules"), "answer-slack-s", 0));
    }

    private Settings.Origin origin() {
        JsonObject domain = root.object("domain");
        return new Settings.Origin(
                domain.text("mode", "").equals("aside"),
                new MachineKind((int) domain.number("origin-kind", -1)),
                domain.number("origin-fall-multiple", 0),
                ticks(domain, "origin-fall-s", 0));
    }

    private Settings.Discovery discovery() {
        return new Settings.Discovery(
                root.text("registry-mode", "").equals("subscribe"),
                ticks(root.object("rules"), "ask-within-s", 10));
    }

    private Settings.SlowStart slowStart() {
        JsonObject rules = root.object("rules");
        return new Settings.SlowStart(
                rules.number("cold-from", 1),
                toTicksRoundedUp(rules.number("warm-up-s", 0)),
                rules.number("fall-multiple", 0),
                toTicksRoundedUp(rules.number("fall-s", 0)));
    }

    private Settings.Attempts attempts() {
        JsonObject limits = root.object("limits");
        return new Settings.Attempts(
                (int) limits.number("most-pushes", 1),
                limits.flag("second-copies"),
                limits.flag("cancel"),
                limits.flag("may-probe"),
                limits.flag("peer-messages"));
    }

    private Settings.Clients clients() {
        JsonObject limits = root.object("limits");
        return new Settings.Clients(
                limits.flag("retry-after"),
                ticks(limits, "max-retry-after-s", 0),
                root.object("callers").flag("marks-retry"),
                root.number("excess-benefit", 1));
    }

    private static Prices prices(JsonObject prices) {
        return new Prices(
                prices.number("cross-zone", 0),
                prices.number("waste", 0),
                prices.number("probe", 0),
                prices.number("peer", 0),
                prices.number("late-fail", 0));
    }

    private List<Category> categories() {
        List<Category> categories =
                root.objects("categories").stream().map(SettingsReader::category).toList();
        return categories.isEmpty() ? List.of(defaultCategory()) : categories;
    }

    private static Category category(JsonObject category) {
        double ttlSeconds = category.number("ttl-s", DEFAULT_TTL_SECONDS);
        return new Category(
                effect(category),
                deduplicationScope(category),
                ticks(category, "memory-span-s", 0),
                toTicks(category.number("target-latency-s", ttlSeconds)),
                category.number("aim-stretch", 0),
                toTicks(ttlSeconds),
                category.number("benefit", 1),
                category.number("overdue-benefit", 0),
                category.flag("stream"));
    }

    private static Category defaultCategory() {
        long ttl = toTicks(DEFAULT_TTL_SECONDS);
        return new Category(
                Effect.AT_MOST_ONCE, DeduplicationScope.CELL, 0, ttl, 0, ttl, 1, 0, false);
    }

    private static Effect effect(JsonObject category) {
        return switch (category.text("effect", "once")) {
            case "repeatable" -> Effect.IDEMPOTENT;
            case "by_key" -> Effect.DEDUPLICATED;
            default -> Effect.AT_MOST_ONCE;
        };
    }

    private static DeduplicationScope deduplicationScope(JsonObject category) {
        return switch (category.text("group", "cell")) {
            case "all" -> DeduplicationScope.ALL_NODES;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    private List<Tenant> tenants() {
        return root.objects("tenants").stream().map(SettingsReader::tenant).toList();
    }

    private static Tenant tenant(JsonObject tenant) {
        return new Tenant(tenant.number("quota-per-s", 0), tenant.number("fraction", 0));
    }

    /** Converts seconds to ticks of a tenth of a millisecond, rounded down. */
    public static long toTicks(double seconds) {
        return (long) Math.floor(seconds * Ticks.SECOND + ROUNDING);
    }

    private static long toTicksRoundedUp(double seconds) {
        return (long) Math.ceil(seconds * Ticks.SECOND - ROUNDING);
    }

    private static long ticks(JsonObject object, String key, double defaultSeconds) {
        return toTicks(object.number(key, defaultSeconds));
    }
}
