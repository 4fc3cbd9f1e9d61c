package cairnbridge.cbor;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads the next field of a CBOR array as a value of the expected type. Every method throws an
 * {@link IOException} if the next token has another type.
 */
public final class CborReader {
    private CborReader() {}

    /** Reads the next field as an integer. */
    public static long readLong(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return parser.getLongValue();
    }

    /** Reads the next field as a string. */
    public static String readText(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_STRING);
        return parser.getText();
    }

    /** Reads the next field as a byte string. */
    public static byte[] readBytes(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT);
        return parser.getBinaryValue();
    }

    /** Throws an {@link IOException} if the condition on the input is false. */
    public static void require(boolean condition) throws IOException {
        if (!condition) {
            throw new IOException("input has an unexpected structure");
        }
    }
}
