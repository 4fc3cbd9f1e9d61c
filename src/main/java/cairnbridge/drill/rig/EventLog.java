package cairnbridge.drill.rig;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The record of one drill: a line of JSON an event, with its time in milliseconds from the start.
 */
final class EventLog implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EventLog.class.getName());
    private static final JsonFactory JSON = new JsonFactory();
    private final long from = System.nanoTime();
    private final Writer out;

    EventLog(Path file) throws IOException {
        out = Files.newBufferedWriter(file);
    }

    long millis() {
        return (System.nanoTime() - from) / 1_000_000;
    }

    synchronized void event(String kind, String who, String text) {
        StringWriter line = new StringWriter();
        try (JsonGenerator json = JSON.createGenerator(line)) {
            json.writeStartObject();
            json.writeNumberField("ms", millis());
            json.writeStringField("kind", kind);
            json.writeStringField("who", who);
            json.writeStringField("text", text);
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // There is no I/O in it.
        }
        try {
            out.write(line + "\n");
            out.flush();
        } catch (IOException e) {
            LOG.log(Level.FINE, "drill: {0}", e.toString()); // The drill is over.
        }
    }

    @Override
    public synchronized void close() throws IOException {
        out.close();
    }
}
