package cairnbridge.zones.plan;

import static cairnbridge.cbor.CborReader.readLong;
import static cairnbridge.cbor.CborReader.readText;
import static cairnbridge.cbor.CborReader.require;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Encodes plans as CBOR (RFC 8949): an array of the epoch, the proposer, the routes (zone, reason,
 * shed, targets) and the drained zones. Targets and drained zones are arrays of alternating zone
 * names and numbers.
 */
public final class PlanCodec {
    /** The maximum length of an encoded plan; longer input is rejected. */
    public static final int MAX_BYTES = 64 * 1024;

    private static final int MAX_ZONES = 4_096;
    private static final int INITIAL_BYTES = 256;
    private static final CBORFactory CBOR = new CBORFactory();

    private PlanCodec() {}

    /** Encodes a plan. */
    public static byte[] encode(Plan plan) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(plan.epoch());
            generator.writeString(plan.proposer());
            generator.writeStartArray();
            for (Map.Entry<Zone, ZoneRoute> route : plan.routesInOrder().entrySet()) {
                generator.writeString(route.getKey().name());
                generator.writeNumber(route.getValue().reason().ordinal());
                generator.writeNumber(route.getValue().shed());
                writePairs(generator, route.getValue().targetsInOrder());
            }
            generator.writeEndArray();
            writePairs(generator, plan.drained());
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Writes to memory do not fail.
        }
        return out.toByteArray();
    }

    private static void writePairs(CBORGenerator generator, Map<Zone, ? extends Number> pairs)
            throws IOException {
        generator.writeStartArray();
        for (Map.Entry<Zone, ? extends Number> pair : pairs.entrySet()) {
            generator.writeString(pair.getKey().name());
            generator.writeNumber(pair.getValue().longValue());
        }
        generator.writeEndArray();
    }

    /**
     * Decodes a plan.
     *
     * @throws IllegalArgumentException if the bytes are not an encoded plan
     */
    public static Plan decode(byte[] bytes) {
        try (JsonParser parser = CBOR.createParser(bytes)) {
            require(bytes.length <= MAX_BYTES);
            require(parser.nextToken() == JsonToken.START_ARRAY);
            long epoch = readLong(parser);
            String proposer = readText(parser);
            Map<Zone, ZoneRoute> routes = readRoutes(parser);
            return new Plan(epoch, routes, readPairs(parser), proposer);
        } catch (IOException | RuntimeException e) {
            // RuntimeException: the constructor of a route and Jackson reject some malformed input
            // with it.
            throw new IllegalArgumentException("malformed plan", e);
        }
    }

    private static Map<Zone, ZoneRoute> readRoutes(JsonParser parser) throws IOException {
        Map<Zone, ZoneRoute> routes = new HashMap<>();
        require(parser.nextToken() == JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            require(routes.size() < MAX_ZONES);
            Zone zone = new Zone(parser.getText());
            int reason = (int) readLong(parser);
            require(reason >= 0 && reason < RoutingReason.values().length);
            int shed = (int) readLong(parser);
            Map<Zone, Integer> targets = new HashMap<>();
            readPairs(parser).forEach((target, share) -> targets.put(target, share.intValue()));
            routes.put(zone, new ZoneRoute(targets, shed, RoutingReason.values()[reason]));
        }
        require(parser.currentToken() == JsonToken.END_ARRAY);
        return routes;
    }

    private static Map<Zone, Long> readPairs(JsonParser parser) throws IOException {
        Map<Zone, Long> pairs = new HashMap<>();
        require(parser.nextToken() == JsonToken.START_ARRAY);
        while (parser.nextToken() == JsonToken.VALUE_STRING) {
            require(pairs.size() < MAX_ZONES);
            Zone zone = new Zone(parser.getText());
            pairs.put(zone, readLong(parser));
        }
        require(parser.currentToken() == JsonToken.END_ARRAY);
        return pairs;
    }
}
