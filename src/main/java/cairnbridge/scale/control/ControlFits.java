package cairnbridge.scale.control;

import cairnbridge.scale.LinearFit;
import cairnbridge.scale.MeasurementWriter;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Fits a line over the sizes through each figure of the plays. */
public final class ControlFits {
    /** The name of the measurements that are fitted. */
    static final String PLAY = "control_play";

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final List<Integer> TOLD_SIZES = List.of(1_800, 3_600);

    private final Map<String, List<LinearFit.Point>> points = new LinkedHashMap<>();

    /** Adds a play's figures at a size. */
    void add(int members, Map<String, Number> figures) {
        figures.forEach((name, value) -> add(name, members, value.doubleValue()));
    }

    /** Adds a line that was written earlier; lines that are not of a play are passed over. */
    public void addLine(String line) throws JsonProcessingException {
        JsonNode measurement = JSON.readTree(line);
        if (!measurement.path("name").asText().equals(PLAY)) {
            return;
        }
        int members = measurement.path("settings").path("members").asInt();
        measurement
                .path("figures")
                .properties()
                .forEach(figure -> add(figure.getKey(), members, figure.getValue().asDouble()));
    }

    private void add(String name, int members, double value) {
        points.computeIfAbsent(name, key -> new ArrayList<>())
                .add(new LinearFit.Point(members, value));
    }

    /** Writes a line for each figure that was measured at two sizes or more. */
    public void write(MeasurementWriter writer) throws IOException {
        for (Map.Entry<String, List<LinearFit.Point>> figure : points.entrySet()) {
            List<Integer> sizes =
                    figure.getValue().stream()
                            .map(point -> (int) point.size())
                            .distinct()
                            .sorted()
                            .toList();
            if (sizes.size() > 1) {
                write(writer, figure.getKey(), figure.getValue(), sizes);
            }
        }
    }

    private static void write(
            MeasurementWriter writer,
            String name,
            List<LinearFit.Point> measured,
            List<Integer> sizes)
            throws IOException {
        LinearFit fit = LinearFit.through(measured);
        Map<String, Object> settings = new LinkedHashMap<>();
        settings.put("figure", name);
        settings.put("sizes", sizes.toString());
        settings.put("plays", measured.size());
        Map<String, Number> figures = new LinkedHashMap<>();
        figures.put("intercept", fit.intercept());
        figures.put("slope_per_member", fit.slope());
        figures.put("spread", fit.spread());
        for (int size : TOLD_SIZES) {
            figures.put("at_" + size, fit.at(size));
        }
        writer.write("control_fit", settings, figures);
    }
}
