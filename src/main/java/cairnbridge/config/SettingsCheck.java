package cairnbridge.config;

import java.util.HashSet;
import java.util.List;

/**
 * Refuses settings that a proxy cannot act on; the absent keep defaults, unknown keys are ignored.
 */
final class SettingsCheck {
    private static final int MOST_COLUMNS = 4;

    private SettingsCheck() {}

    static void check(Tree root) {
        least(root, "instances", 1);
        above(root, "granularity-s");
        one(root, "registry-mode", "automatic", "subscribe");
        Tree rules = root.map("rules");
        above(rules, "ask-within-s");
        for (String key :
                List.of("answer-slack-s", "cold-from", "warm-up-s", "fall-multiple", "fall-s")) {
            least(rules, key, 0);
        }
        most(rules, "cold-from", 1);
        Tree limits = root.map("limits");
        least(limits, "most-pushes", 1);
        least(limits, "max-retry-after-s", 0);
        Tree domain = root.map("domain");
        one(domain, "mode", "through", "aside");
        if (domain.text("mode", "").equals("aside")) {
            least(domain, "origin-kind", 0);
            most(domain, "origin-kind", root.texts("host-types").size() - 1);
        }
        reports(root.map("load-info"));
        root.trees("categories").forEach(SettingsCheck::category);
        for (Tree tenant : root.trees("tenants")) {
            least(tenant, "quota-per-s", 0);
            least(tenant, "fraction", 0);
        }
        least(root, "excess-benefit", 0);
        least(domain, "origin-fall-multiple", 0);
        least(domain, "origin-fall-s", 0);
        for (String key : List.of("cross-zone", "waste", "probe", "peer", "late-fail")) {
            least(root.map("prices"), key, 0);
        }
    }

    private static void category(Tree category) {
        one(category, "effect", "repeatable", "by_key", "once");
        one(category, "group", "all", "zone", "cell");
        above(category, "ttl-s");
        above(category, "target-latency-s");
        for (String key : List.of("memory-span-s", "benefit", "overdue-benefit", "aim-stretch")) {
            least(category, key, 0);
        }
    }

    private static void reports(Tree reports) {
        one(reports, "how", "none", "answers", "probe");
        List<String> columns = reports.texts("columns");
        if (columns.size() > MOST_COLUMNS) {
            throw reports.fault("columns", "has more than " + MOST_COLUMNS);
        }
        if (new HashSet<>(columns).size() < columns.size()) {
            throw reports.fault("columns", "names one twice");
        }
    }

    static void above(Tree tree, String key) {
        if (!(tree.number(key, 1) > 0)) {
            throw tree.fault(key, "is not above 0");
        }
    }

    static void least(Tree tree, String key, double least) {
        if (!(tree.number(key, least) >= least)) {
            throw tree.fault(key, "is under " + Math.round(least));
        }
    }

    private static void most(Tree tree, String key, double most) {
        if (!(tree.number(key, most) <= most)) {
            throw tree.fault(key, "is over " + Math.round(most));
        }
    }

    private static void one(Tree tree, String key, String... known) {
        if (!List.of(known).contains(tree.text(key, known[0]))) {
            throw tree.fault(key, "is none of " + String.join(", ", known));
        }
    }
}
