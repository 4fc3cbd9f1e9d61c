package cairnbridge.adapter;

import cairnbridge.config.JsonObject;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.Optional;

/**
 * Reads the positional values of a message. A value that is null or missing has its default. Extra
 * values at the end are skipped, because a newer protocol version may append some.
 */
final class MessageReader {
    private final JsonParser parser;

    /** Whether the closing bracket of the current array has been read. */
    private boolean arrayEnded;

    MessageReader(JsonParser parser) {
        this.parser = parser;
    }

    /** Creates the exception for input that violates the protocol, at the current line. */
    MalformedInputException malformed(String problem) {
        return new MalformedInputException(parser.currentLocation().getLineNr(), problem);
    }

    /** Starts reading an array; the current token must be its opening bracket. */
    void beginArray() {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            throw malformed("an array was expected");
        }
        arrayEnded = false;
    }

    /** Skips the remaining values of the array, including the closing bracket. */
    void endArray() throws IOException {
        while (!arrayEnded) {
            nextValue();
            parser.skipChildren();
        }
        arrayEnded = false;
    }

    /**
     * Advances to the next row of a table. Returns false at the end of the table; otherwise the
     * current token is the first token of the row.
     */
    boolean hasNextRow() throws IOException {
        return parser.nextToken() != JsonToken.END_ARRAY;
    }

    /** Reads the next value; returns null if the value is null or the array has ended. */
    JsonToken nextValue() throws IOException {
        if (arrayEnded) {
            return null;
        }
        JsonToken token = parser.nextToken();
        if (token == null) {
            throw malformed("the input ends inside a message");
        }
        if (token == JsonToken.END_ARRAY) {
            arrayEnded = true;
            return null;
        }
        return token == JsonToken.VALUE_NULL ? null : token;
    }

    /** Reads a required integer; a fractional number is truncated. */
    long integer(String name) throws IOException {
        JsonToken token = nextValue();
        if (token == null) {
            throw malformed(name + " is missing");
        }
        return integerValue(token, name);
    }

    long integer(String name, long defaultValue) throws IOException {
        JsonToken token = nextValue();
        return token == null ? defaultValue : integerValue(token, name);
    }

    private long integerValue(JsonToken token, String name) throws IOException {
        if (token == JsonToken.VALUE_NUMBER_INT) {
            return parser.getLongValue();
        }
        if (token == JsonToken.VALUE_NUMBER_FLOAT) {
            return (long) parser.getDoubleValue();
        }
        throw malformed(name + " is not a number");
    }

    /** Reads a required number. */
    double number(String name) throws IOException {
        double value = number(name, Double.NaN);
        if (Double.isNaN(value)) {
            throw malformed(name + " is missing");
        }
        return value;
    }

    double number(String name, double defaultValue) throws IOException {
        JsonToken token = nextValue();
        if (token == null) {
            return defaultValue;
        }
        if (!token.isNumeric()) {
            throw malformed(name + " is not a number");
        }
        return parser.getDoubleValue();
    }

    /** Reads an optional boolean; false if absent. */
    boolean flag(String name) throws IOException {
        JsonToken token = nextValue();
        if (token == null) {
            return false;
        }
        if (!token.isBoolean()) {
            throw malformed(name + " is neither true nor false");
        }
        return token == JsonToken.VALUE_TRUE;
    }

    /** Reads a required string. */
    String text(String name) throws IOException {
        return optionalText(name).orElseThrow(() -> malformed(name + " is missing"));
    }

    Optional<String> optionalText(String name) throws IOException {
        JsonToken token = nextValue();
        if (token == null) {
            return Optional.empty();
        }
        if (token != JsonToken.VALUE_STRING) {
            throw malformed(name + " is not a text");
        }
        return Optional.of(parser.getText());
    }

    /**
     * Reads an array of numbers. Elements that are not numbers count as 0, as do missing ones.
     *
     * @param width the length of the returned array; further elements are skipped
     * @return null if the array is absent, as {@link cairnbridge.decision.Event} expects
     */
    double[] numbers(String name, int width) throws IOException {
        JsonToken token = nextValue();
        if (token == null) {
            return null;
        }
        if (token != JsonToken.START_ARRAY) {
            throw malformed(name + " is not an array");
        }
        double[] values = new double[width];
        int count = 0;
        for (JsonToken t = parser.nextToken(); t != JsonToken.END_ARRAY; t = parser.nextToken()) {
            if (t == null) {
                throw malformed("the input ends inside a message");
            }
            if (count < width && t.isNumeric()) {
                values[count] = parser.getDoubleValue();
            }
            parser.skipChildren();
            count++;
        }
        return values;
    }

    /** Reads a required object. */
    JsonObject object(String name) throws IOException {
        JsonToken token = nextValue();
        if (token != JsonToken.START_OBJECT) {
            throw malformed(name + " is not an object");
        }
        return JsonObject.read(parser, name);
    }
}
