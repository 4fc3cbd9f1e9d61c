package cairnbridge.recovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assembles the lines of a discovery watch into one whole endpoint list in discovery's JSON format,
 * so that the list can be persisted and sent to other members. Thread-safe.
 */
public final class EndpointListAssembler {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String VERSION = "rev";
    private static final String IS_WHOLE_LIST = "all";
    private static final String TARGETS = "targets";
    private static final String ID = "uid";
    private static final String STATE = "state";
    private static final String GONE = "Gone";
    private static final String STARTED_MILLIS = "boot_ms";

    // The fields below are guarded by this object's lock.
    private final Map<String, JsonNode> targets = new TreeMap<>();
    private long version;

    /** The whole list as JSON; empty from a change until the list is next requested. */
    private String encodedList = "";

    /**
     * Applies a whole list or a change. A line that cannot be parsed is ignored, and a whole list
     * without targets removes none.
     */
    public synchronized void lineReceived(String line) {
        JsonNode root;
        try {
            root = JSON.readTree(line);
        } catch (JsonProcessingException e) {
            return;
        }
        JsonNode changed = root.path(TARGETS);
        if (root.path(IS_WHOLE_LIST).asBoolean() && !changed.isEmpty()) {
            targets.clear();
        }
        for (JsonNode target : changed) {
            String id = target.path(ID).asText();
            if (target.path(STATE).asText().equals(GONE)) {
                targets.remove(id);
            } else {
                targets.put(id, target);
            }
        }
        version = root.path(VERSION).asLong(version);
        encodedList = "";
    }

    /** The version of the list; 0 before the first line. */
    public synchronized long version() {
        return version;
    }

    /** The whole list as JSON; empty while it has no targets. */
    public synchronized String endpointList() {
        if (encodedList.isEmpty() && !targets.isEmpty()) {
            ObjectNode root =
                    JSON.createObjectNode().put(VERSION, version).put(IS_WHOLE_LIST, true);
            ArrayNode all = root.putArray(TARGETS);
            targets.values().forEach(all::add);
            encodedList = root.toString();
        }
        return encodedList;
    }

    /**
     * Sets the start time of all nodes in a list. Guards against treating the caches of a persisted
     * list as warm: their nodes may have lost power as well.
     */
    public static String withStartTimes(String list, long unixMillis) {
        try {
            JsonNode root = JSON.readTree(list);
            for (JsonNode target : root.path(TARGETS)) {
                if (target instanceof ObjectNode node) {
                    node.put(STARTED_MILLIS, unixMillis);
                }
            }
            return root.toString();
        } catch (JsonProcessingException e) {
            return list;
        }
    }
}
