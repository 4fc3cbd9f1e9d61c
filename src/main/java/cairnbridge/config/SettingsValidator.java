package cairnbridge.config;

import java.util.HashSet;
import java.util.List;

/** Rejects settings with values that are out of range. Absent and unknown keys are accepted. */
final class SettingsValidator {
    private static final int MAX_REPORT_COLUMNS = 4;

    private SettingsValidator() {}

    /** Checks the settings of the decision module and throws an exception for the first fault. */
    static void validate(JsonObject root) {
        requireAtLeast(root, "instances", 1);
        requirePositive(root, "granularity-s");
        requireOneOf(root, "registry-mode", "automatic", "subscribe");
        JsonObject rules = root.object("rules");
        requirePositive(rules, "ask-within-s");
        for (String key :
                List.of("answer-slack-s", "cold-from", "warm-up-s", "fall-multiple", "fall-s")) {
            requireAtLeast(rules, key, 0);
        }
        requireAtMost(rules, "cold-from", 1);
        JsonObject limits = root.object("limits");
        requireAtLeast(limits, "most-pushes", 1);
        requireAtLeast(limits, "max-retry-after-s", 0);
        JsonObject domain = root.object("domain");
        requireOneOf(domain, "mode", "through", "aside");
        if (domain.text("mode", "").equals("aside")) {
            requireAtLeast(domain, "origin-kind", 0);
            requireAtMost(domain, "origin-kind", root.texts("host-types").size() - 1);
        }
        validateLoadReports(root.object("load-info"));
        root.objects("categories").forEach(SettingsValidator::validateCategory);
        for (JsonObject tenant : root.objects("tenants")) {
            requireAtLeast(tenant, "quota-per-s", 0);
            requireAtLeast(tenant, "fraction", 0);
        }
        requireAtLeast(root, "excess-benefit", 0);
        requireAtLeast(domain, "origin-fall-multiple", 0);
        requireAtLeast(domain, "origin-fall-s", 0);
        for (String key : List.of("cross-zone", "waste", "probe", "peer", "late-fail")) {
            requireAtLeast(root.object("prices"), key, 0);
        }
    }

    private static void validateCategory(JsonObject category) {
        requireOneOf(category, "effect", "repeatable", "by_key", "once");
        requireOneOf(category, "group", "all", "zone", "cell");
        requirePositive(category, "ttl-s");
        requirePositive(category, "target-latency-s");
        for (String key : List.of("memory-span-s", "benefit", "overdue-benefit", "aim-stretch")) {
            requireAtLeast(category, key, 0);
        }
    }

    private static void validateLoadReports(JsonObject reports) {
        requireOneOf(reports, "how", "none", "answers", "probe");
        List<String> columns = reports.texts("columns");
        if (columns.size() > MAX_REPORT_COLUMNS) {
            throw reports.invalid("columns", "has more than " + MAX_REPORT_COLUMNS);
        }
        if (new HashSet<>(columns).size() < columns.size()) {
            throw reports.invalid("columns", "contains a name twice");
        }
    }

    /** Checks that the number at a key, if present, is greater than 0. */
    static void requirePositive(JsonObject object, String key) {
        if (!(object.number(key, 1) > 0)) {
            throw object.invalid(key, "is not above 0");
        }
    }

    /** Checks that the number at a key, if present, is not less than a minimum. */
    static void requireAtLeast(JsonObject object, String key, double minimum) {
        if (!(object.number(key, minimum) >= minimum)) {
            throw object.invalid(key, "is under " + Math.round(minimum));
        }
    }

    private static void requireAtMost(JsonObject object, String key, double maximum) {
        if (!(object.number(key, maximum) <= maximum)) {
            throw object.invalid(key, "is over " + Math.round(maximum));
        }
    }

    private static void requireOneOf(JsonObject object, String key, String... allowed) {
        if (!List.of(allowed).contains(object.text(key, allowed[0]))) {
            throw object.invalid(key, "is none of " + String.join(", ", allowed));
        }
    }
}
