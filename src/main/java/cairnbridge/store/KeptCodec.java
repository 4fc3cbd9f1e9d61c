package cairnbridge.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Kept and Entry as CBOR (RFC 8949) by Jackson, with a format's number in front of all. Fields that
 * a newer program added are passed over; a format that is newer is refused, as what it means is not
 * known.
 */
final class KeptCodec {
    static final int FORMAT = 1;
    private static final ObjectMapper CBOR =
            CBORMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    /** What stands in a frame. */
    record Whole(int format, Kept kept) {}

    /** An entry and its folder's cluster. */
    record Line(int format, String cluster, Entry entry) {}

    private KeptCodec() {}

    static byte[] write(Kept kept) {
        return bytes(new Whole(FORMAT, kept));
    }

    static byte[] write(String cluster, Entry entry) {
        return bytes(new Line(FORMAT, cluster, entry));
    }

    private static byte[] bytes(Object value) {
        try {
            return CBOR.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e); // There is no I/O in it.
        }
    }

    /** IllegalArgumentException for anything that is no whole state; never another exception. */
    static Kept readKept(byte[] bytes) {
        Whole whole = read(bytes, Whole.class);
        if (whole.format() != FORMAT || whole.kept() == null) {
            throw new IllegalArgumentException("has format " + whole.format());
        }
        return whole.kept();
    }

    static Line readLine(byte[] bytes) {
        Line line = read(bytes, Line.class);
        if (line.format() != FORMAT
                || line.cluster() == null
                || line.entry() == null
                || line.entry().kind() == null) {
            throw new IllegalArgumentException("is no entry");
        }
        return line;
    }

    private static <T> T read(byte[] bytes, Class<T> as) {
        try {
            T value = CBOR.readValue(bytes, as);
            if (value == null) {
                throw new IllegalArgumentException("is nothing");
            }
            return value;
        } catch (IOException | RuntimeException e) {
            throw new IllegalArgumentException("cannot be read", e);
        }
    }
}
