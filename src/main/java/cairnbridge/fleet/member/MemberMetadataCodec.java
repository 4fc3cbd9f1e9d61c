package cairnbridge.fleet.member;

import cairnbridge.fleet.member.MemberMetadata.Lifecycle;
import cairnbridge.fleet.member.MemberMetrics.EndpointListStatus;
import cairnbridge.fleet.member.MemberMetrics.Load;
import cairnbridge.fleet.member.MemberMetrics.Reachability;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Encodes metadata as a CBOR map (RFC 8949) from field names to values. The names on the wire are
 * defined only here; some differ from the names in the code.
 */
final class MemberMetadataCodec {
    private static final String ZONE = "zone";
    private static final String REGION = "region";
    private static final String PROTOCOL_VERSION = "protocol";
    private static final String LIFECYCLE = "state";
    private static final String CLIENT_ADDRESS = "clients";
    private static final String ADMIN_ADDRESS = "door";
    private static final String PLAN_EPOCH = "epoch";
    private static final String RECOVERY_PHASE = "recovery";
    private static final String RECOVERY_ORIGIN_LIMIT = "pace";
    private static final String RECOVERY_EPOCH_FLOOR = "epoch-floor";
    private static final String REQUESTS_IN_FLIGHT = "load";
    private static final String REQUESTS_PER_SECOND = "rate";
    private static final String REQUEST_LIMIT = "limit";
    private static final String ENDPOINT_LIST_VERSION = "roster";
    private static final String WATCHING = "listing";
    private static final String UNREACHABLE_NODES = "unreachable";
    private static final String ZONE_OUTCOMES = "zones";
    private static final String UNREACHABLE_ZONES = "out";

    /** Zone outcomes are one flat list with three numbers for each zone. */
    private static final int NUMBERS_PER_OUTCOME = 3;

    private static final int MAX_PROTOCOL_VERSION = 255;
    private static final int MAX_RECOVERY_PHASE = 100;
    private static final int INITIAL_BYTES = 128;
    private static final CBORFactory CBOR = new CBORFactory();

    private MemberMetadataCodec() {}

    // Encoding.

    static byte[] encode(MemberMetadataFields fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeStringField(ZONE, truncate(fields.zone()));
            generator.writeStringField(REGION, truncate(fields.region()));
            generator.writeNumberField(PROTOCOL_VERSION, fields.protocolVersion());
            generator.writeStringField(LIFECYCLE, fields.lifecycle().name());
            generator.writeStringField(CLIENT_ADDRESS, truncate(fields.clientAddress()));
            generator.writeStringField(ADMIN_ADDRESS, truncate(fields.adminAddress()));
            generator.writeNumberField(PLAN_EPOCH, fields.planEpoch());
            writeRecovery(generator, fields.recovery());
            writeMetrics(generator, fields.metrics());
            generator.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Writes to memory do not fail.
        }
        return out.toByteArray();
    }

    private static void writeRecovery(CBORGenerator generator, RecoveryProgress recovery)
            throws IOException {
        writeUnlessZero(generator, RECOVERY_PHASE, recovery.phase());
        writeUnlessZero(generator, RECOVERY_ORIGIN_LIMIT, recovery.originLimit());
        writeUnlessZero(generator, RECOVERY_EPOCH_FLOOR, recovery.epochFloor());
    }

    private static void writeMetrics(CBORGenerator generator, MemberMetrics metrics)
            throws IOException {
        generator.writeNumberField(REQUESTS_IN_FLIGHT, metrics.load().requestsInFlight());
        generator.writeNumberField(REQUESTS_PER_SECOND, metrics.load().requestsPerSecond());
        generator.writeNumberField(REQUEST_LIMIT, metrics.load().requestLimit());
        generator.writeNumberField(ENDPOINT_LIST_VERSION, metrics.endpointList().version());
        generator.writeBooleanField(WATCHING, metrics.endpointList().watching());
        Reachability reachability = metrics.reachability();
        writeNumbers(
                generator,
                UNREACHABLE_NODES,
                reachability.unreachableNodes(),
                MemberMetadata.MAX_UNREACHABLE_NODES);
        writeNumbers(
                generator,
                ZONE_OUTCOMES,
                flatten(reachability.zoneOutcomes()),
                NUMBERS_PER_OUTCOME * MemberMetadata.MAX_ZONES);
        if (!reachability.unreachableZones().isEmpty()) {
            writeNumbers(
                    generator,
                    UNREACHABLE_ZONES,
                    reachability.unreachableZones(),
                    MemberMetadata.MAX_ZONES);
        }
    }

    /** Leaves out a zero, which is the default, to save space in every datagram. */
    private static void writeUnlessZero(CBORGenerator generator, String field, long number)
            throws IOException {
        if (number != 0) {
            generator.writeNumberField(field, number);
        }
    }

    private static void writeNumbers(
            CBORGenerator generator, String field, List<Long> numbers, int limit)
            throws IOException {
        generator.writeArrayFieldStart(field);
        for (long number : numbers.subList(0, Math.min(limit, numbers.size()))) {
            generator.writeNumber(number);
        }
        generator.writeEndArray();
    }

    private static List<Long> flatten(List<ZoneOutcome> outcomes) {
        List<Long> numbers = new ArrayList<>();
        for (ZoneOutcome outcome : outcomes) {
            numbers.add(outcome.zoneHash());
            numbers.add(outcome.attempts());
            numbers.add(outcome.failures());
        }
        return numbers;
    }

    private static String truncate(String text) {
        return text.length() > MemberMetadata.MAX_TEXT_LENGTH
                ? text.substring(0, MemberMetadata.MAX_TEXT_LENGTH)
                : text;
    }

    // Decoding.

    /** Decodes metadata and never fails: a field that cannot be read has its default. */
    static MemberMetadataFields decode(byte[] encoded) {
        WireFields wire = WireFields.parse(encoded);
        return new MemberMetadataFields(
                wire.text(ZONE),
                wire.text(REGION),
                wire.text(CLIENT_ADDRESS),
                wire.text(ADMIN_ADDRESS),
                wire.number(PLAN_EPOCH, 0, 0, Long.MAX_VALUE),
                decodeRecovery(wire),
                (int) wire.number(PROTOCOL_VERSION, 1, 1, MAX_PROTOCOL_VERSION),
                decodeLifecycle(wire.text(LIFECYCLE)),
                decodeMetrics(wire));
    }

    private static RecoveryProgress decodeRecovery(WireFields wire) {
        return new RecoveryProgress(
                (int) wire.number(RECOVERY_PHASE, 0, 0, MAX_RECOVERY_PHASE),
                (int) wire.number(RECOVERY_ORIGIN_LIMIT, 0, 0, Integer.MAX_VALUE),
                wire.number(RECOVERY_EPOCH_FLOOR, 0, 0, Long.MAX_VALUE));
    }

    private static Lifecycle decodeLifecycle(String name) {
        return Arrays.stream(Lifecycle.values())
                .filter(lifecycle -> lifecycle.name().equals(name))
                .findFirst()
                .orElse(Lifecycle.UNKNOWN);
    }

    private static MemberMetrics decodeMetrics(WireFields wire) {
        return new MemberMetrics(
                new Load(
                        wire.number(REQUESTS_IN_FLIGHT),
                        wire.number(REQUEST_LIMIT),
                        wire.number(REQUESTS_PER_SECOND)),
                new EndpointListStatus(wire.number(ENDPOINT_LIST_VERSION), wire.flag(WATCHING)),
                new Reachability(
                        wire.numbers(UNREACHABLE_NODES, MemberMetadata.MAX_UNREACHABLE_NODES),
                        unflatten(
                                wire.numbers(
                                        ZONE_OUTCOMES,
                                        NUMBERS_PER_OUTCOME * MemberMetadata.MAX_ZONES)),
                        wire.numbers(UNREACHABLE_ZONES, MemberMetadata.MAX_ZONES)));
    }

    private static List<ZoneOutcome> unflatten(List<Long> numbers) {
        List<ZoneOutcome> outcomes = new ArrayList<>();
        for (int i = 0; i + NUMBERS_PER_OUTCOME <= numbers.size(); i += NUMBERS_PER_OUTCOME) {
            outcomes.add(new ZoneOutcome(numbers.get(i), numbers.get(i + 1), numbers.get(i + 2)));
        }
        return outcomes;
    }

    /** The top level of the map: texts, integers, booleans and lists of integers, by name. */
    private static final class WireFields {
        private final Map<String, String> texts = new HashMap<>();
        private final Map<String, Long> numbers = new HashMap<>();
        private final Map<String, Boolean> flags = new HashMap<>();
        private final Map<String, List<Long>> lists = new HashMap<>();

        /** Reads fields up to the first malformed one and ignores the rest. */
        static WireFields parse(byte[] encoded) {
            WireFields fields = new WireFields();
            try (JsonParser parser = CBOR.createParser(encoded)) {
                if (parser.nextToken() == JsonToken.START_OBJECT) {
                    while (parser.nextToken() == JsonToken.FIELD_NAME) {
                        fields.readField(parser);
                    }
                }
            } catch (IOException | RuntimeException e) {
                return fields;
            }
            return fields;
        }

        private void readField(JsonParser parser) throws IOException {
            String name = parser.currentName();
            switch (parser.nextToken()) {
                case VALUE_STRING -> put(texts, name, parser.getText());
                case VALUE_NUMBER_INT -> put(numbers, name, parser.getLongValue());
                case VALUE_TRUE, VALUE_FALSE -> put(flags, name, parser.getBooleanValue());
                case START_ARRAY -> put(lists, name, readNumbers(parser));
                default -> parser.skipChildren();
            }
        }

        /** Stores a value; the last one replaces earlier values of the same name and any type. */
        private <T> void put(Map<String, T> values, String name, T value) {
            texts.remove(name);
            numbers.remove(name);
            flags.remove(name);
            lists.remove(name);
            values.put(name, value);
        }

        private static List<Long> readNumbers(JsonParser parser) throws IOException {
            List<Long> list = new ArrayList<>();
            JsonToken token = parser.nextToken();
            while (token != JsonToken.END_ARRAY && token != null) {
                if (token == JsonToken.VALUE_NUMBER_INT) {
                    list.add(parser.getLongValue());
                } else {
                    parser.skipChildren();
                }
                token = parser.nextToken();
            }
            return list;
        }

        String text(String name) {
            return truncate(texts.getOrDefault(name, ""));
        }

        long number(String name) {
            return numbers.getOrDefault(name, 0L);
        }

        long number(String name, long absent, long min, long max) {
            return Math.max(min, Math.min(max, numbers.getOrDefault(name, absent)));
        }

        boolean flag(String name) {
            return flags.getOrDefault(name, false);
        }

        List<Long> numbers(String name, int limit) {
            List<Long> list = lists.getOrDefault(name, List.of());
            return list.subList(0, Math.min(limit, list.size()));
        }
    }
}
