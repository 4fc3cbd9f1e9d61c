package cairnbridge.drill.scenario;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The settings of every proxy of a scenario, as its configuration file has them: what the stand-ins
 * are like.
 */
public final class ProxySettings {
    private ProxySettings() {}

    /** The settings of a scenario as a JSON object. */
    public static ObjectNode of(Scenario scenario) {
        ObjectNode settings = new ObjectMapper().createObjectNode();
        settings.put("instances", scenario.members());
        ArrayNode zones = settings.putArray("azs");
        scenario.zones().forEach(zones::add);
        settings.putArray("host-types").add("cache").add("origin");
        settings.putObject("domain").put("mode", "aside").put("origin-kind", 1);
        settings.putObject("rules")
                .put("cold-from", 0.25)
                .put("warm-up-s", 3)
                .put("fall-multiple", 2)
                .put("fall-s", 1);
        settings.putObject("limits")
                .put("cancel", true)
                .put("most-pushes", 4)
                .put("retry-after", true)
                .put("max-retry-after-s", 1)
                .put("may-probe", true);
        ArrayNode categories = settings.putArray("categories");
        categories
                .addObject()
                .put("name", "view")
                .put("effect", "repeatable")
                .put("group", "all")
                .put("ttl-s", 0.8)
                .put("target-latency-s", 0.3)
                .put("benefit", 1)
                .put("overdue-benefit", 1);
        categories
                .addObject()
                .put("name", "loan")
                .put("effect", "once")
                .put("group", "all")
                .put("ttl-s", 0.8)
                .put("target-latency-s", 0.3)
                .put("benefit", 4)
                .put("overdue-benefit", 4);
        return settings;
    }
}
