package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How the body of a call to discovery is split into messages. */
class DiscoveryMessageReaderTest {
    private static final String INDENTED = "{\n  \"rev\": 1,\n  \"targets\": [{\n  }]\n}\n";

    private final List<String> messages = new ArrayList<>();
    private int lineCount;
    private final DiscoveryMessageReader reader =
            new DiscoveryMessageReader(message -> messages.add(message.text()), () -> lineCount++);

    private void read(String text, int partBytes) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        for (int offset = 0; offset < bytes.length; offset += partBytes) {
            int count = Math.min(partBytes, bytes.length - offset);
            reader.read(ByteBuffer.wrap(bytes, offset, count));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 7, 4096})
    void messagesAreSplitWhereTheirBracesAreBalanced(int partBytes) throws IOException {
        String line = "{\"uid\":\"a}\\\"}{é\"}\n";
        read("\n" + line + INDENTED + "\n \r\n" + line, partBytes);

        assertEquals(List.of(line, INDENTED, line), messages);
        assertEquals(10, lineCount);
    }

    @Test
    void anEmptyLineOrTheEndOfTheBodyCompletesAMessage() throws IOException {
        read("{\"rev\":\n\n{\"rev\":1}", 4096);
        reader.end();

        assertEquals(List.of("{\"rev\":\n\n", "{\"rev\":1}"), messages);
    }

    /** Guards against a list of many lines, or one line without an end, that fills the heap. */
    @ParameterizedTest
    @ValueSource(strings = {"x", "{\n"})
    void aMessageThatIsTooLongIsRejected(String part) {
        String text = part.repeat(DiscoveryMessageReader.MAX_MESSAGE_BYTES / part.length() + 1);

        assertThrows(IOException.class, () -> read(text, 4096));
        assertEquals(List.of(), messages);
    }
}
