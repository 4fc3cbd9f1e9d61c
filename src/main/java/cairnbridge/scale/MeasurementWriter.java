package cairnbridge.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintStream;
import java.io.StringWriter;
import java.util.Map;

/** Writes measurements as JSON lines: what was measured, its settings, its figures, and where. */
public final class MeasurementWriter {
    private static final JsonFactory JSON = new JsonFactory();

    private final PrintStream out;
    private final MeasurementContext context;

    /** Lines go to this stream, which stays the caller's to close. */
    public MeasurementWriter(PrintStream out, MeasurementContext context) {
        this.out = out;
        this.context = context;
    }

    /**
     * Writes one line.
     *
     * @param name what was measured
     * @param settings sizes, seeds and repeats that it was measured with
     * @param figures the results; units belong to the names, for instance "bytes_per_second"
     */
    public void write(String name, Map<String, ?> settings, Map<String, ? extends Number> figures)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(text)) {
            json.writeStartObject();
            json.writeStringField("name", name);
            json.writeStringField("commit", context.commit());
            json.writeStringField("machine", context.machine());
            writeFields(json, "settings", settings);
            writeFields(json, "figures", figures);
            json.writeEndObject();
        }
        out.println(text);
    }

    private static void writeFields(JsonGenerator json, String name, Map<String, ?> fields)
            throws IOException {
        json.writeObjectFieldStart(name);
        for (Map.Entry<String, ?> field : fields.entrySet()) {
            json.writeFieldName(field.getKey());
            json.writePOJO(field.getValue());
        }
        json.writeEndObject();
    }
}
