package cairnbridge.recovery;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;

/**
 * Puts the lines of a discovery watch together to one whole endpoint list, in discovery's own form
 * (JSON), so that it can be persisted and passed on to members. Any thread may call it.
 */
public final class EndpointListHistory {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String VERSION = "rev";
    private static final String IS_WHOLE_LIST = "all";
    private static final String TARGETS = "targets";
    private static final String ID = "uid";
    private static final String STATE = "state";
    private static final String GONE = "Gone";
    private static final String STARTED_MILLIS = "boot_ms";

    // All guarded by this object's lock.
    private final Map<String, JsonNode> targets = new TreeMap<>();
    private long version;

    /** The whole list, made when it is first needed after a change. */
    private String encodedList = "";

    /** Applies a line; one that cannot be read, or an empty whole list, changes nothing. */
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

    /** The version of the list, 0 while there is none. */
    public synchronized long version() {
        return version;
    }

    /** The whole list, empty while there is none. */
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
     * A list in which all nodes have just started: those of a persisted list may have lost their
     * power as well.
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
