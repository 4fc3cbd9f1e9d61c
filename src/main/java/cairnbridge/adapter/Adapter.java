package cairnbridge.adapter;

import static cairnbridge.config.SettingsReader.toTicks;

import cairnbridge.config.ConfigurationException;
import cairnbridge.config.JsonObject;
import cairnbridge.config.SettingsReader;
import cairnbridge.decision.Event;
import cairnbridge.decision.Router;
import cairnbridge.decision.Settings;
import cairnbridge.decision.WarmStartState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Runs routers for an external test bench over a JSON protocol: each input line is a batch of
 * events and is answered by one output line. Each instance has its own router. All work is done on
 * the caller's thread.
 */
public final class Adapter {
    private static final Logger LOG = Logger.getLogger(Adapter.class.getName());
    private static final int OUTPUT_BUFFER_BYTES = 1 << 16;

    /**
     * A hosted router instance; instances share no state.
     *
     * @param reportWidth the number of values in a load report
     */
    private record Instance(Router router, ActionWriter actions, int reportWidth) {}

    private final JsonParser parser;
    private final JsonGenerator out;
    private final MessageReader reader;
    private final EndpointTables tables;
    private final EventDecoder decoder;
    private final Map<Integer, Instance> instances = new HashMap<>();

    /** The clock time of the current batch, in ticks. */
    private long now;

    /** Creates an adapter that reads batches from {@code in} and writes replies to {@code out}. */
    public Adapter(InputStream in, OutputStream out) throws IOException {
        JsonFactory factory = new JsonFactory();
        this.parser = factory.createParser(in);
        this.out = factory.createGenerator(new BufferedOutputStream(out, OUTPUT_BUFFER_BYTES));
        this.out.setRootValueSeparator(null);
        reader = new MessageReader(parser);
        tables = new EndpointTables(reader);
        decoder = new EventDecoder(reader, tables);
    }

    /**
     * Answers batches until the end of the input.
     *
     * @throws MalformedInputException if the input violates the protocol
     */
    public void run() throws IOException {
        try {
            while (parser.nextToken() != null) {
                answerBatch();
            }
        } catch (JsonProcessingException e) {
            String problem = e.getOriginalMessage().lines().findFirst().orElse("");
            throw reader.malformed("not valid JSON: " + problem);
        }
    }

    private void answerBatch() throws IOException {
        if (parser.currentToken() != JsonToken.START_OBJECT) {
            throw reader.malformed("a batch must be an object");
        }
        out.writeStartObject();
        out.writeArrayFieldStart("do");
        handleBatch();
        out.writeEndArray();
        out.writeEndObject();
        out.writeRaw('\n');
        out.flush();
    }

    private void handleBatch() throws IOException {
        boolean hasClock = false;
        boolean hasEvents = false;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            JsonToken token = parser.nextToken();
            if (field.equals("clock-s") && token.isNumeric()) {
                now = toTicks(parser.getDoubleValue());
                hasClock = true;
            } else if (field.equals("events") && token == JsonToken.START_ARRAY) {
                if (!hasClock) {
                    throw reader.malformed("clock-s must come before events");
                }
                hasEvents = true;
                handleMessages();
            } else {
                parser.skipChildren();
            }
        }
        if (!hasClock) {
            throw reader.malformed("clock-s is missing");
        }
        if (!hasEvents) {
            throw reader.malformed("events is missing");
        }
    }

    private void handleMessages() throws IOException {
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            reader.beginArray();
            handleMessage(reader.text("the message name"));
            reader.endArray();
        }
    }

    private void handleMessage(String name) throws IOException {
        if (name.equals("POOL")) {
            tables.replace();
            return;
        }
        int id = (int) reader.integer("proxy-id");
        switch (name) {
            case "START" -> start(id);
            case "CRASH_NOW" -> instances.remove(id);
            default -> deliver(id, decoder.decode(name, reportWidth(id)));
        }
    }

    private int reportWidth(int id) {
        Instance instance = instances.get(id);
        return instance == null ? 0 : instance.reportWidth;
    }

    private void start(int id) throws IOException {
        long seed = reader.integer("prng");
        Settings settings = settings(reader.object("params"));
        ActionWriter actions = new ActionWriter(out, id);
        Router router = new Router(settings, seed, now, actions, WarmStartState.EMPTY);
        instances.put(id, new Instance(router, actions, settings.loadReportColumns().size()));
    }

    private Settings settings(JsonObject params) {
        try {
            return SettingsReader.read(params);
        } catch (ConfigurationException e) {
            throw reader.malformed(e.getMessage());
        }
    }

    private void deliver(int id, Event event) {
        Instance instance = instances.get(id);
        if (instance == null) {
            throw reader.malformed("instance " + id + " was not started");
        }
        try {
            instance.router.handle(now, event);
        } catch (RuntimeException e) {
            // An exception in one router is reported in the reply; the other instances continue.
            LOG.log(Level.SEVERE, e, () -> "instance " + id + " failed on " + event);
            instance.actions.internalError(e.getClass().getSimpleName() + ": " + e.getMessage());
        }
    }
}
