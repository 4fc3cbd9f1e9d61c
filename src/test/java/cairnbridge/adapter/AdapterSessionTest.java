package cairnbridge.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays a recorded adapter session; each reply must equal the recorded line exactly. */
class AdapterSessionTest {
    @Test
    void recordedEventsProduceTheRecordedReplies() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();

        new Adapter(new ByteArrayInputStream(Fixtures.bytes("adapter/events.jsonl")), out).run();

        List<String> expected = Fixtures.text("adapter/replies.jsonl").lines().toList();
        List<String> actual = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(expected.size(), actual.size());
        for (int i = 0; i < expected.size(); i++) {
            assertEquals(expected.get(i), actual.get(i), "reply to batch " + (i + 1));
        }
    }
}
