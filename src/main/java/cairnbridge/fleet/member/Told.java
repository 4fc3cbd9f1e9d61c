package cairnbridge.fleet.member;

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
 * What a member tells of itself, as the bytes its owner wrote: a CBOR map (RFC 8949) with names as
 * keys. It is passed on as it came, so that what a newer version adds reaches other newer ones
 * through older ones. Missing or odd fields read as if they had not been told.
 */
public final class Told {
    /** A member that tells more is not believed: claims have to fit a datagram. */
    public static final int MOST_BYTES = 800;

    public static final int MOST_UNREACHABLE = 16, MOST_TEXT = 64, MOST_ZONES = 8;
    private static final CBORFactory CBOR = new CBORFactory();

    /** How far a member is in its life. */
    public enum State {
        STARTING,
        SERVING,
        STANDBY,
        DRAINING,
        UNKNOWN
    }

    /**
     * load and limit in ops in flight, rate in ops taken a second; zones are triples of a zone's
     * hash, pushes that ended there lately and those of them late or failed; unreachable are node
     * ids; roster is the version of the list of nodes, and listing says whether that list comes in
     * right now; out are hashes of zones where nothing was reached lately.
     */
    public record Figures(
            long load,
            long limit,
            long rate,
            long roster,
            boolean listing,
            List<Long> unreachable,
            List<Long> zones,
            List<Long> out) {
        public static final Figures NONE = new Figures(0, 0, 0, false, List.of());

        public Figures {
            unreachable = List.copyOf(unreachable);
            zones = List.copyOf(zones);
            out = List.copyOf(out);
        }

        public Figures(
                long load, long limit, long roster, boolean listing, List<Long> unreachable) {
            this(load, limit, 0, roster, listing, unreachable, List.of(), List.of());
        }
    }

    private final byte[] raw;

    /** What the bytes say, read when it is first asked for; any thread may be the first. */
    private volatile Read read;

    private Told(byte[] raw) {
        this.raw = raw;
    }

    /** As it came over the wire; IllegalArgumentException where it is too long to be passed on. */
    public static Told of(byte[] bytes) {
        if (bytes.length > MOST_BYTES) {
            throw new IllegalArgumentException("tells too much");
        }
        return new Told(bytes.clone());
    }

    /** protocol: the newest version of the carrier's form that the member speaks. */
    public static Told of(
            String zone,
            String region,
            int protocol,
            State state,
            String clients,
            String door,
            Figures figures) {
        return of(zone, region, protocol, state, clients, door, 0, Recovering.NOT, figures);
    }

    /**
     * As above, with the epoch of the plan over zones that is in force here, and how far a return
     * is.
     */
    public static Told of(
            String zone,
            String region,
            int protocol,
            State state,
            String clients,
            String door,
            long epoch,
            Recovering recovering,
            Figures figures) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(128);
        try (CBORGenerator cbor = CBOR.createGenerator(out)) {
            cbor.writeStartObject();
            cbor.writeStringField("zone", cut(zone));
            cbor.writeStringField("region", cut(region));
            cbor.writeNumberField("protocol", protocol);
            cbor.writeStringField("state", state.name());
            cbor.writeStringField("clients", cut(clients));
            cbor.writeStringField("door", cut(door));
            cbor.writeNumberField("epoch", epoch);
            // Only where there is something to tell: what a member tells takes its room in every
            // datagram.
            told(cbor, "recovery", recovering.phase());
            told(cbor, "pace", recovering.pace());
            told(cbor, "epoch-floor", recovering.epochFloor());
            cbor.writeNumberField("load", figures.load());
            cbor.writeNumberField("rate", figures.rate());
            cbor.writeNumberField("limit", figures.limit());
            cbor.writeNumberField("roster", figures.roster());
            cbor.writeBooleanField("listing", figures.listing());
            numbers(cbor, "unreachable", figures.unreachable(), MOST_UNREACHABLE);
            numbers(cbor, "zones", figures.zones(), 3 * MOST_ZONES);
            if (!figures.out().isEmpty()) {
                numbers(cbor, "out", figures.out(), MOST_ZONES);
            }
            cbor.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // There is no I/O in it.
        }
        return new Told(out.toByteArray());
    }

    private static void told(CBORGenerator cbor, String field, long number) throws IOException {
        if (number != 0) {
            cbor.writeNumberField(field, number);
        }
    }

    private static void numbers(CBORGenerator cbor, String field, List<Long> numbers, int most)
            throws IOException {
        cbor.writeArrayFieldStart(field);
        for (long number : numbers.subList(0, Math.min(most, numbers.size()))) {
            cbor.writeNumber(number);
        }
        cbor.writeEndArray();
    }

    private static String cut(String text) {
        return text.length() > MOST_TEXT ? text.substring(0, MOST_TEXT) : text;
    }

    public int bytes() {
        return raw.length;
    }

    public byte[] raw() {
        return raw.clone();
    }

    public String zone() {
        return text("zone");
    }

    public String region() {
        return text("region");
    }

    public String clients() {
        return text("clients");
    }

    public String door() {
        return text("door");
    }

    public long epoch() {
        return Math.max(0, number("epoch", 0));
    }

    public Recovering recovering() {
        return new Recovering(
                (int) Math.max(0, Math.min(100, number("recovery", 0))),
                (int) Math.max(0, Math.min(Integer.MAX_VALUE, number("pace", 0))),
                Math.max(0, number("epoch-floor", 0)));
    }

    /** 1 where it is not told. */
    public int protocol() {
        return (int) Math.max(1, Math.min(255, number("protocol", 1)));
    }

    public State state() {
        String name = text("state");
        return Arrays.stream(State.values())
                .filter(each -> each.name().equals(name))
                .findFirst()
                .orElse(State.UNKNOWN);
    }

    public Figures figures() {
        return read().figures;
    }

    private static List<Long> numbers(Map<String, Object> fields, String name, int most) {
        List<Long> numbers = new ArrayList<>();
        if (fields.get(name) instanceof List<?> list) {
            for (Object each : list) {
                if (each instanceof Long number && numbers.size() < most) {
                    numbers.add(number);
                }
            }
        }
        return numbers;
    }

    private String text(String name) {
        return fields().get(name) instanceof String text ? cut(text) : "";
    }

    private long number(String name, long absent) {
        return number(fields(), name, absent);
    }

    private static long number(Map<String, Object> fields, String name, long absent) {
        return fields.get(name) instanceof Long number ? number : absent;
    }

    private Map<String, Object> fields() {
        return read().fields;
    }

    private Read read() {
        Read done = read;
        if (done == null) {
            done = Read.of(parse(raw));
            read = done;
        }
        return done;
    }

    private record Read(Map<String, Object> fields, Figures figures) {
        static Read of(Map<String, Object> fields) {
            return new Read(
                    fields,
                    new Figures(
                            number(fields, "load", 0),
                            number(fields, "limit", 0),
                            number(fields, "rate", 0),
                            number(fields, "roster", 0),
                            Boolean.TRUE.equals(fields.get("listing")),
                            numbers(fields, "unreachable", MOST_UNREACHABLE),
                            numbers(fields, "zones", 3 * MOST_ZONES),
                            numbers(fields, "out", MOST_ZONES)));
        }
    }

    /**
     * Texts, whole numbers, truths and flat lists of numbers at the top; all else is left to who
     * knows it.
     */
    private static Map<String, Object> parse(byte[] raw) {
        Map<String, Object> fields = new HashMap<>();
        try (JsonParser parser = CBOR.createParser(raw)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return fields;
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                switch (parser.nextToken()) {
                    case VALUE_STRING -> fields.put(name, parser.getText());
                    case VALUE_NUMBER_INT -> fields.put(name, parser.getLongValue());
                    case VALUE_TRUE, VALUE_FALSE -> fields.put(name, parser.getBooleanValue());
                    case START_ARRAY -> {
                        List<Long> list = new ArrayList<>();
                        for (JsonToken t = parser.nextToken();
                                t != JsonToken.END_ARRAY && t != null;
                                t = parser.nextToken()) {
                            if (t == JsonToken.VALUE_NUMBER_INT) {
                                list.add(parser.getLongValue());
                            } else {
                                parser.skipChildren();
                            }
                        }
                        fields.put(name, list);
                    }
                    default -> parser.skipChildren();
                }
            }
        } catch (IOException | RuntimeException e) {
            return fields; // What could be read up to there counts; a fault is its owner's.
        }
        return fields;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Told told && Arrays.equals(raw, told.raw);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(raw);
    }
}
