package cairnbridge.lab.report;

import cairnbridge.config.ConfigurationException;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A file that the lab wrote: the record of one run (`lab run --out`) or an experiment's results
 * (`lab experiment --out`). A file that is neither is a ConfigFault that names it and the line.
 *
 * @param name of the file, without its ending
 * @param isRun whether it is the record of one run
 */
record Lines(String name, boolean isRun, List<JsonNode> lines) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static Lines read(Path file) {
        String name = String.valueOf(file.getFileName()).replaceFirst("\\.[^.]*$", "");
        List<JsonNode> lines = new ArrayList<>();
        try {
            for (String text : Files.readAllLines(file)) {
                JsonNode node = JSON.readTree(text);
                boolean known = node.has("ms") || node.has("key") || node.has("service");
                if (!known) {
                    throw new ConfigurationException(
                            file.toString(),
                            "line " + (lines.size() + 1) + " is no line of a record or of results");
                }
                lines.add(node);
            }
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(
                    file.toString(), "line " + (lines.size() + 1) + " is no JSON");
        } catch (IOException e) {
            throw new ConfigurationException(file.toString(), "cannot be read");
        }
        if (lines.isEmpty()) {
            throw new ConfigurationException(file.toString(), "is empty");
        }
        boolean isRun = lines.get(0).has("ms");
        if (isRun && !lines.get(lines.size() - 1).has("service")) {
            throw new ConfigurationException(file.toString(), "ends before its sums");
        }
        return new Lines(name, isRun, lines);
    }

    /** The samples of a run. */
    List<JsonNode> samples() {
        return lines.subList(0, lines.size() - 1);
    }

    /** What a run came to. */
    JsonNode sums() {
        return lines.get(lines.size() - 1);
    }
}
