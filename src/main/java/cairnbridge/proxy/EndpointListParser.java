package cairnbridge.proxy;

import cairnbridge.config.ConfigurationException;
import cairnbridge.config.IpAddresses;
import cairnbridge.config.JsonObject;
import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.hash.Fnv1a;
import cairnbridge.zones.plan.Zone;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses discovery's messages. Guards against a long list that fills the heap: each entry is
 * converted as it is parsed, and its JSON is not kept. Used by one thread at a time.
 */
final class EndpointListParser {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String NAME = "roster";
    private static final String VERSION = "rev";
    private static final String IS_WHOLE_LIST = "all";
    private static final String TARGETS = "targets";
    private static final int UNKNOWN_INDEX = 1 << 20;

    /** One entry of a list: the endpoint, its zone by name, and its address unless it is gone. */
    record ListedEndpoint(Endpoint endpoint, Zone zone, Optional<InetSocketAddress> address) {}

    /**
     * One message of discovery.
     *
     * @param version the version of the list, or the default if the message has none
     * @param whole whether the message has the whole list, and not only changes
     * @param endpoints the usable entries
     */
    record EndpointListMessage(long version, boolean whole, List<ListedEndpoint> endpoints) {}

    private final ProxyConfig.Names names;
    private final DeduplicatedLog log;

    /**
     * Creates a parser.
     *
     * @param names the machine kinds and zones that have numbers
     * @param log receives a warning for an entry that cannot be used
     */
    EndpointListParser(ProxyConfig.Names names, DeduplicatedLog log) {
        this.names = names;
        this.log = log;
    }

    /**
     * Parses a message.
     *
     * @param json the text of the message, which is read to its end
     * @param defaultVersion the version of a message that has none
     * @throws ConfigurationException if it is not valid, or has a value of the wrong type
     */
    EndpointListMessage parse(Reader json, long defaultVersion) {
        try (JsonParser parser = JSON.createParser(json)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException(NAME, "is not a JSON object");
            }
            return parseMessage(parser, defaultVersion);
        } catch (IOException e) {
            throw new ConfigurationException(NAME, "is not valid JSON");
        }
    }

    private EndpointListMessage parseMessage(JsonParser parser, long defaultVersion)
            throws IOException {
        long version = defaultVersion;
        boolean whole = false;
        List<ListedEndpoint> endpoints = List.of();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            if (field.equals(TARGETS) && value == JsonToken.START_ARRAY) {
                endpoints = parseTargets(parser);
            } else if (field.equals(VERSION) && value.isNumeric()) {
                version = (long) parser.getDoubleValue();
            } else if (field.equals(IS_WHOLE_LIST) && value.isBoolean()) {
                whole = parser.getBooleanValue();
            } else {
                skipUnknown(parser, field, value);
            }
        }
        return new EndpointListMessage(version, whole, endpoints);
    }

    private static void skipUnknown(JsonParser parser, String field, JsonToken value)
            throws IOException {
        boolean known =
                field.equals(TARGETS) || field.equals(VERSION) || field.equals(IS_WHOLE_LIST);
        if (known && value != JsonToken.VALUE_NULL) {
            throw new ConfigurationException(NAME + "." + field, "is of the wrong type");
        }
        parser.skipChildren();
    }

    private List<ListedEndpoint> parseTargets(JsonParser parser) throws IOException {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            String path = NAME + "." + TARGETS + "[" + endpoints.size() + "]";
            if (parser.currentToken() != JsonToken.START_OBJECT) {
                throw new ConfigurationException(path, "is not an object");
            }
            parseEndpoint(JsonObject.read(parser, path)).ifPresent(endpoints::add);
        }
        return endpoints;
    }

    /** Converts a message that has been parsed already. */
    EndpointListMessage convert(JsonObject message, long defaultVersion) {
        List<ListedEndpoint> endpoints = new ArrayList<>();
        for (JsonObject target : message.objects(TARGETS)) {
            parseEndpoint(target).ifPresent(endpoints::add);
        }
        return new EndpointListMessage(
                (long) message.number(VERSION, defaultVersion),
                message.flag(IS_WHOLE_LIST),
                endpoints);
    }

    /** The entry; empty, with a warning, if it cannot be used. */
    private Optional<ListedEndpoint> parseEndpoint(JsonObject target) {
        String uid = target.text("uid", "");
        String stateName = target.text("state", "");
        Optional<InetSocketAddress> address = IpAddresses.parse(target.text("endpoint", ""));
        Optional<NodeState> state = parseState(stateName);
        boolean addressMissing = address.isEmpty() && !state.equals(Optional.of(NodeState.GONE));
        if (uid.isEmpty() || state.isEmpty() || addressMissing) {
            log.warnOnce("entry ignored, uid '" + uid + "' state '" + stateName + "'");
            return Optional.empty();
        }
        String zone = target.text("az", "");
        Endpoint endpoint =
                new Endpoint(
                        new NodeId(Fnv1a.hash(uid)),
                        state.get(),
                        new MachineKind(indexOf(names.machineKinds(), target.text("model", ""))),
                        target.number("capacity_hint", 1),
                        TickClock.fromUnixMillis((long) target.number("boot_ms", 0)),
                        new CellId((int) target.number("pod_group", 0)),
                        new ZoneId(indexOf(names.zones(), zone)));
        return Optional.of(new ListedEndpoint(endpoint, new Zone(zone), address));
    }

    private static Optional<NodeState> parseState(String name) {
        return switch (name) {
            case "Ready" -> Optional.of(NodeState.READY);
            case "Terminating" -> Optional.of(NodeState.DRAINING);
            case "Gone" -> Optional.of(NodeState.GONE);
            default -> Optional.empty();
        };
    }

    private static int indexOf(List<String> names, String name) {
        int index = names.indexOf(name);
        return index < 0 ? UNKNOWN_INDEX : index;
    }
}
