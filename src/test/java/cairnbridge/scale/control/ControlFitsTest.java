package cairnbridge.scale.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.scale.MeasurementContext;
import cairnbridge.scale.MeasurementWriter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Lines over the sizes of plays that were written earlier. */
class ControlFitsTest {
    private static final double TOLERANCE = 1e-6;
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final MeasurementWriter writer =
            new MeasurementWriter(
                    new PrintStream(output, true, StandardCharsets.UTF_8),
                    new MeasurementContext("commit", "machine"));

    private List<String> written() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void playsReadBackAreFittedAndOtherLinesAreNot() throws IOException {
        writer.write("control_play", Map.of("members", 50), Map.of("bytes", 110));
        writer.write("control_play", Map.of("members", 150), Map.of("bytes", 310));
        writer.write("control_change", Map.of("members", 150), Map.of("bytes", 1_000_000));
        List<String> plays = written();
        output.reset();
        ControlFits fits = new ControlFits();
        for (String line : plays) {
            fits.addLine(line);
        }
        fits.write(writer);
        assertEquals(1, written().size());
        JsonNode fit = new ObjectMapper().readTree(written().get(0));
        assertEquals("bytes", fit.path("settings").path("figure").asText());
        assertEquals(2, fit.path("settings").path("plays").asInt());
        assertEquals(2, fit.path("figures").path("slope_per_member").asDouble(), TOLERANCE);
        assertEquals(3_610, fit.path("figures").path("at_1800").asDouble(), TOLERANCE);
        assertEquals(7_210, fit.path("figures").path("at_3600").asDouble(), TOLERANCE);
    }

    @Test
    void oneSizeGivesNoLine() throws IOException {
        ControlFits fits = new ControlFits();
        fits.add(50, Map.of("bytes", 1));
        fits.add(50, Map.of("bytes", 2));
        fits.write(writer);
        assertEquals(List.of(), written());
    }
}
