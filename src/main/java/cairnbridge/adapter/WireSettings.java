package cairnbridge.adapter;

import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.decision.Settings.Group;
import cairnbridge.decision.Settings.Prices;
import cairnbridge.decision.Settings.Tenant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Turns the wire's start-up settings into the module's; unknown keys are ignored, absent ones defaulted. */
final class WireSettings {
    private static final double TTL_DEFAULT_S = 1.0;

    private final Map<?, ?> root;

    private WireSettings(Map<?, ?> root) {
        this.root = root;
    }

    static Settings read(Object params) {
        return new WireSettings((Map<?, ?>) params).settings();
    }

    private Settings settings() {
        Map<?, ?> limits = map(root, "limits");
        Map<?, ?> rules = map(root, "rules");
        Map<?, ?> domain = map(root, "domain");
        Map<?, ?> prices = map(root, "prices");
        return new Settings(
                new PeerId((int) number(root, "me", 0)), (int) number(root, "instances", 1),
                new ZoneId((int) number(root, "zone", 0)),
                "aside".equals(domain.get("mode")), new MachineKind((int) number(domain, "origin-kind", -1)),
                number(domain, "origin-fall-multiple", 0), down(domain, "origin-fall-s", 0),
                "subscribe".equals(root.get("registry-mode")), down(rules, "ask-within-s", 10),
                up(number(root, "granularity-s", 0.001)), down(rules, "answer-slack-s", 0),
                number(rules, "cold-from", 1), up(number(rules, "warm-up-s", 0)),
                number(rules, "fall-multiple", 0), up(number(rules, "fall-s", 0)),
                (int) number(limits, "most-pushes", 1), flag(limits, "cancel"), flag(limits, "may-probe"),
                flag(limits, "peer-messages"), flag(limits, "retry-after"), flag(limits, "second-copies"),
                down(limits, "max-retry-after-s", 0), number(root, "excess-benefit", 1),
                flag(map(root, "callers"), "marks-retry"),
                new Prices(number(prices, "cross-zone", 0), number(prices, "waste", 0),
                        number(prices, "probe", 0), number(prices, "peer", 0),
                        number(prices, "late-fail", 0)),
                columns(), categories(), tenants());
    }

    List<String> columns() {
        List<String> names = new ArrayList<>();
        for (Object name : list(map(root, "load-info"), "columns")) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    private List<Category> categories() {
        List<Category> result = new ArrayList<>();
        for (Object each : list(root, "categories")) {
            Map<?, ?> c = (Map<?, ?>) each;
            Effect effect = switch (text(c, "effect", "once")) {
                case "repeatable" -> Effect.REDELIVERABLE;
                case "by_key" -> Effect.DEDUPLICATED;
                default -> Effect.AT_MOST_ONCE;
            };
            Group group = switch (text(c, "group", "cell")) {
                case "all" -> Group.ALL;
                case "zone" -> Group.ZONE;
                default -> Group.CELL;
            };
            double ttl = number(c, "ttl-s", TTL_DEFAULT_S);
            result.add(new Category(effect, group, down(c, "memory-span-s", 0),
                    tenths(number(c, "target-latency-s", ttl)), number(c, "aim-stretch", 0), tenths(ttl),
                    number(c, "benefit", 1), number(c, "overdue-benefit", 0), flag(c, "stream")));
        }
        if (result.isEmpty()) {
            long ttl = tenths(TTL_DEFAULT_S);
            result.add(new Category(Effect.AT_MOST_ONCE, Group.CELL, 0, ttl, 0, ttl, 1, 0, false));
        }
        return result;
    }

    private List<Tenant> tenants() {
        List<Tenant> result = new ArrayList<>();
        for (Object each : list(root, "tenants")) {
            Map<?, ?> t = (Map<?, ?>) each;
            result.add(new Tenant(number(t, "quota-per-s", 0), number(t, "fraction", 0)));
        }
        return result;
    }

    static long tenths(double seconds) {
        return (long) Math.floor(seconds * 10_000 + 1e-6);
    }

    private static long up(double seconds) {
        return (long) Math.ceil(seconds * 10_000 - 1e-6);
    }

    private static long down(Map<?, ?> map, String key, double absent) {
        return tenths(number(map, key, absent));
    }

    private static Map<?, ?> map(Map<?, ?> map, String key) {
        return map.get(key) instanceof Map<?, ?> found ? found : Map.of();
    }

    private static List<?> list(Map<?, ?> map, String key) {
        return map.get(key) instanceof List<?> found ? found : List.of();
    }

    private static double number(Map<?, ?> map, String key, double absent) {
        return map.get(key) instanceof Double found ? found : absent;
    }

    private static String text(Map<?, ?> map, String key, String absent) {
        return map.get(key) instanceof String found ? found : absent;
    }

    private static boolean flag(Map<?, ?> map, String key) {
        return Boolean.TRUE.equals(map.get(key));
    }
}
