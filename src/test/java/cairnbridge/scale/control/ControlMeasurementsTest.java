package cairnbridge.scale.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A whole play over two child processes. */
@Timeout(120)
class ControlMeasurementsTest {
    @Test
    void aSmallFleetIsPlayedOverTwoProcesses() throws IOException, InterruptedException {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream notes = new ByteArrayOutputStream();
        ControlMeasurements.Request request =
                new ControlMeasurements.Request(List.of(4), 2, 1, 1, 0, 1, 1, 0, true);
        new ControlMeasurements(
                        request,
                        new MeasurementWriter(
                                new PrintStream(output, true, StandardCharsets.UTF_8),
                                new MeasurementContext("commit", "machine")),
                        new PrintStream(notes, true, StandardCharsets.UTF_8))
                .run();
        List<String> lines = output.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(
                List.of("control_quiet", "control_change", "control_play"),
                lines.stream().map(line -> read(line).path("name").asText()).toList());
        assertEquals("kill", read(lines.get(1)).path("settings").path("kind").asText());
        JsonNode figures = read(lines.get(2)).path("figures");
        assertEquals(4, figures.path("members_agreeing").asInt());
        assertEquals(0, figures.path("rumours_waiting").asInt(-1));
        assertEquals(0, figures.path("changes_not_known_to_all").asInt());
        assertTrue(figures.path("quiet_bytes_sent_per_second_per_member").asDouble() > 0);
        assertTrue(figures.path("heap_bytes_per_member").asDouble() > 0);
        assertTrue(notes.toString(StandardCharsets.UTF_8).startsWith("4 members in 2 processes"));
    }

    private static JsonNode read(String line) {
        try {
            return new ObjectMapper().readTree(line);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
