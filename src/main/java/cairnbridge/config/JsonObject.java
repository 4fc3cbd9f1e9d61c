package cairnbridge.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object whose values are read by key. The default is used for absent and null values; a
 * value of the wrong type causes a {@link ConfigurationException}. Only the streaming parser is
 * used, as loading the classes of Jackson's data binding would make the start of a process slower.
 */
public final class JsonObject {
    private static final JsonFactory JSON = new JsonFactory();

    private final String path;
    private final Map<String, Object> values = new HashMap<>();

    private JsonObject(String path) {
        this.path = path;
    }

    /**
     * Parses the text of a JSON object.
     *
     * @param name the name of the object in error messages
     */
    public static JsonObject parse(String text, String name) {
        try (JsonParser parser = JSON.createParser(text)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException(name, "is not a JSON object");
            }
            return read(parser, name);
        } catch (IOException e) {
            throw new ConfigurationException(name, "is not valid JSON");
        }
    }

    /**
     * Reads the object whose opening brace is the parser's current token.
     *
     * @param path the path of the object in error messages, such as {@code LB_CONFIG.limits}
     */
    public static JsonObject read(JsonParser parser, String path) throws IOException {
        JsonObject object = new JsonObject(path);
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            parser.nextToken();
            Object value = value(parser, path + "." + field);
            if (value != null) {
                object.values.put(field, value);
            }
        }
        return object;
    }

    private static Object value(JsonParser parser, String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> read(parser, path);
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(value(parser, path + "[" + list.size() + "]"));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
            case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
            default -> null;
        };
    }

    /**
     * An object without any values.
     *
     * @param path the path of the object in error messages
     */
    static JsonObject empty(String path) {
        return new JsonObject(path);
    }

    /** Whether the key is present with a value other than null. */
    public boolean has(String key) {
        return values.containsKey(key);
    }

    /** Returns the number at a key, or the default if the key is absent. */
    public double number(String key, double defaultValue) {
        Double value = valueOfType(key, Double.class, "a number");
        return value == null ? defaultValue : value;
    }

    /** Returns the string at a key, or the default if the key is absent. */
    public String text(String key, String defaultValue) {
        String value = valueOfType(key, String.class, "a string");
        return value == null ? defaultValue : value;
    }

    /** Returns the boolean at a key, false if the key is absent. */
    public boolean flag(String key) {
        return Boolean.TRUE.equals(valueOfType(key, Boolean.class, "true or false"));
    }

    /** Returns the object at a key, an empty one if the key is absent. */
    public JsonObject object(String key) {
        JsonObject value = valueOfType(key, JsonObject.class, "an object");
        return value == null ? empty(path + "." + key) : value;
    }

    /** Returns the list of strings at a key, an empty one if the key is absent. */
    public List<String> texts(String key) {
        return list(key, String.class, "a list of strings");
    }

    /** Returns the list of objects at a key, an empty one if the key is absent. */
    public List<JsonObject> objects(String key) {
        return list(key, JsonObject.class, "a list of objects");
    }

    /** Creates the exception for an invalid value; the message begins with the path of the key. */
    public ConfigurationException invalid(String key, String problem) {
        return new ConfigurationException(path + "." + key, problem);
    }

    private <T> List<T> list(String key, Class<T> type, String expected) {
        List<T> result = new ArrayList<>();
        List<?> value = valueOfType(key, List.class, expected);
        for (Object element : value == null ? List.of() : value) {
            if (!type.isInstance(element)) {
                throw invalid(key, "is not " + expected);
            }
            result.add(type.cast(element));
        }
        return result;
    }

    private <T> T valueOfType(String key, Class<T> type, String expected) {
        Object value = values.get(key);
        if (value != null && !type.isInstance(value)) {
            throw invalid(key, "is not " + expected);
        }
        return type.cast(value);
    }
}
