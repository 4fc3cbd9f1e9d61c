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
 * The file in which a process leaves what it has learnt about its nodes to the next one. A file
 * that cannot be used is treated as none.
 */
final class WarmStartFile {
    private static final Logger LOG = Logger.getLogger(WarmStartFile.class.getName());
    private static final String NAME_IN_MESSAGES = "learnt";
    private static final String TEMPORARY_SUFFIX = ".new";

    private static final String TIME = "at";
    private static final String ORIGIN_LATENCY = "origin-span";
    private static final String NODES = "nodes";
    private static final String NODE_ID = "id";
    private static final String NODE_STARTED = "started";
    private static final String NODE_SHARE = "share";
    private static final int ID_RADIX = 16;

    private WarmStartFile() {}

    /** Reads a file; nothing where it does not exist or cannot be used. */
    static WarmStartState read(Path file) {
        if (!Files.exists(file)) {
            return WarmStartState.EMPTY;
        }
        try {
            return parse(JsonObject.parse(Files.readString(file), NAME_IN_MESSAGES));
        } catch (IOException | ConfigurationException | NumberFormatException e) {
            // Guards against a start that fails for want of what it can learn anew.
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
                (long) root.number(TIME, 0), Math.max(0, root.number(ORIGIN_LATENCY, 0)), 0, nodes);
    }

    private static double share(JsonObject node) {
        double share = node.number(NODE_SHARE, 1);
        if (!(share >= 0 && share <= 1)) {
            throw node.invalid(NODE_SHARE, "is not from 0 to 1");
        }
        return share;
    }

    /** Replaces the file. */
    static void write(Path file, WarmStartState learnt) throws IOException {
        // Guards against a half written file, where the platform kills the proxy meanwhile.
        Path temporary = file.resolveSibling(file.getFileName() + TEMPORARY_SUFFIX);
        try (JsonGenerator generator =
                new JsonFactory().createGenerator(Files.newBufferedWriter(temporary))) {
            write(generator, learnt);
        }
        Files.move(
                temporary,
                file,
                StandardCopyOption.REPLACE_EXISTING,
                StandardCopyOption.ATOMIC_MOVE);
    }

    private static void write(JsonGenerator generator, WarmStartState learnt) throws IOException {
        generator.writeStartObject();
        generator.writeNumberField(TIME, learnt.recordedAt());
        generator.writeNumberField(ORIGIN_LATENCY, learnt.originLatency());
        generator.writeArrayFieldStart(NODES);
        for (Map.Entry<NodeId, WarmStartState.SavedHealth> node : learnt.nodes().entrySet()) {
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
