package cairnbridge.config;

import cairnbridge.time.Ticks;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.Set;

/** A table of a TOML file. Values are read by key, with a default, and checked. */
final class TomlTable {
    /** The longest duration that can be configured, in seconds. */
    private static final double MAX_SECONDS = 1e6;

    private final JsonNode node;
    private final String path;

    /**
     * Creates a table and rejects every key that is not in the set: an unknown key is usually a
     * misspelt one.
     *
     * @param path the path of the table in error messages
     */
    TomlTable(JsonNode node, String path, Set<String> keys) {
        this.node = node;
        this.path = path;
        if (!node.isMissingNode() && !node.isObject()) {
            throw new ConfigurationException(path, "is not a table");
        }
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            if (!keys.contains(field.getKey())) {
                throw invalid(field.getKey(), "is not a key of this table");
            }
        }
    }

    /** Returns the parsed value of a key; a missing node if the key is absent. */
    JsonNode value(String key) {
        return node.path(key);
    }

    ConfigurationException invalid(String key, String problem) {
        return new ConfigurationException(path + "." + key, problem);
    }

    String text(String key, String defaultValue) {
        JsonNode value = node.path(key);
        if (!value.isMissingNode() && !value.isTextual()) {
            throw invalid(key, "is not a string");
        }
        return value.isMissingNode() ? defaultValue : value.asText();
    }

    /** Returns the string at a key; throws an exception if it is absent or empty. */
    String requiredText(String key) {
        String text = text(key, "");
        if (text.isEmpty()) {
            throw invalid(key, "is not set");
        }
        return text;
    }

    double number(String key, double defaultValue, double min, double max) {
        JsonNode value = node.path(key);
        double number = value.asDouble(defaultValue);
        boolean wrongType = !value.isMissingNode() && !value.isNumber();
        if (wrongType || !(number >= min && number <= max)) {
            throw invalid(key, "is not a number from " + format(min) + " to " + format(max));
        }
        return number;
    }

    private static String format(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }

    /** Returns a duration in ticks; the file contains it in seconds. */
    long duration(String key, long defaultTicks, double minSeconds) {
        double seconds = (double) defaultTicks / Ticks.SECOND;
        return (long) (number(key, seconds, minSeconds, MAX_SECONDS) * Ticks.SECOND);
    }

    boolean flag(String key, boolean defaultValue) {
        JsonNode value = node.path(key);
        if (!value.isMissingNode() && !value.isBoolean()) {
            throw invalid(key, "is not true or false");
        }
        return value.asBoolean(defaultValue);
    }
}
