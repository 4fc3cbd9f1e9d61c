package cairnbridge.config;

import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.WarmStartState;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.HashMap;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The file in which a process saves what it has measured about its nodes for the next process. An
 * invalid file is treated like an absent one.
 */
final class WarmStartFile {
    private static final Logger LOG = Logger.getLogger(WarmStartFile.class.getName());
    private static final String NAME_IN_MESSAGES = "learnt";
    private static final String TEMPORARY_SUFFIX = ".new";

    private static final String RECORDED_AT = "at";
    private static final String ORIGIN_LATENCY = "origin-span";
    private static final String NODES = "nodes";
    private static final String NODE_ID = "id";
    private static final String NODE_STARTED = "started";
    private static final String NODE_SHARE = "share";
    private static final int ID_RADIX = 16;

    private WarmStartFile() {}

    /** Reads a file; returns the empty state if the file is absent or invalid. */
    static WarmStartState read(Path file) {
        if (!Files.exists(file)) {
            return WarmStartState.EMPTY;
        }
        try {
            return parse(JsonObject.parse(Files.readString(file), NAME_IN_MESSAGES));
        } catch (IOException | ConfigurationException | NumberFormatException e) {
            // Guards against a start that fails on an invalid file, although the process can
            // measure the state again.
            LOG.log(
                    Level.WARNING,
                    "warm start: the file cannot be used, starting without it: {0}",
                    e.getMessage());
            return WarmStartState.EMPTY;
        }
    }

    private static WarmStartState parse(JsonObject root) {
        Map<NodeId, WarmStartState.SavedHealth> nodes = new HashMap<>();
        for (JsonObject node : root.objects(NODES)) {
            NodeId id = new NodeId(Long.parseUnsignedLong(node.text(NODE_ID, ""), ID_RADIX));
            nodes.put(
                    id,
                    new WarmStartState.SavedHealth(
                            (long) node.number(NODE_STARTED, 0), share(node)));
        }
        return new WarmStartState(
                (long) root.number(RECORDED_AT, 0),
                Math.max(0, root.number(ORIGIN_LATENCY, 0)),
                0,
                nodes);
    }

    private static double share(JsonObject node) {
        double share = node.number(NODE_SHARE, 1);
        if (!(share >= 0 && share <= 1)) {
            throw node.invalid(NODE_SHARE, "is not from 0 to 1");
        }
        return share;
    }

    /** Replaces the file atomically. */
    static void write(Path file, WarmStartState state) throws IOException {
        // Guards against an incomplete file if the platform kills the proxy during the write.
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (JsonGenerator generator =
                new JsonFactory().createGenerator(Files.newBufferedWriter(temporary))) {
            write(generator, state);
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    private static void write(JsonGenerator generator, WarmStartState state) throws IOException {
        generator.writeStartObject();
        generator.writeNumberField(RECORDED_AT, state.recordedAt());
        generator.writeNumberField(ORIGIN_LATENCY, state.originLatency());
        generator.writeArrayFieldStart(NODES);
        for (Map.Entry<NodeId, WarmStartState.SavedHealth> node : state.nodes().entrySet()) {
            generator.writeStartObject();
            generator.writeStringField(NODE_ID, Long.toHexString(node.getKey().value()));
            generator.writeNumberField(NODE_STARTED, node.getValue().startedAt());
            generator.writeNumberField(NODE_SHARE, node.getValue().acceptedShare());
            generator.writeEndObject();
        }
        generator.writeEndArray();
        generator.writeEndObject();
    }
}
