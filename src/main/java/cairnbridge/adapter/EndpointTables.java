package cairnbridge.adapter;

import static cairnbridge.config.SettingsReader.toTicks;

import cairnbridge.decision.Event.Endpoint;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Event.NodeState;
import cairnbridge.decision.Ids.CellId;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The numbered endpoint lists of the protocol, each sent once and referenced by all instances. */
final class EndpointTables {
    private static final int TABLE_COUNT = 16;

    private final MessageReader reader;
    private final List<List<Endpoint>> tables =
            new ArrayList<>(Collections.nCopies(TABLE_COUNT, List.of()));

    /**
     * Creates empty tables.
     *
     * @param reader positioned at the first value when {@link #replace} is called
     */
    EndpointTables(MessageReader reader) {
        this.reader = reader;
    }

    /** The entries of a table; none if the scope is FAILED, whatever the table number. */
    List<Endpoint> entries(ListScope scope, int table) {
        if (scope == ListScope.FAILED) {
            return List.of();
        }
        if (!isValidTable(table)) {
            throw reader.malformed("scope or table is out of range");
        }
        return tables.get(table);
    }

    private static boolean isValidTable(int table) {
        return table >= 0 && table < TABLE_COUNT;
    }

    /** Reads a POOL message, which replaces a table. */
    void replace() throws IOException {
        int table = (int) reader.integer("table");
        if (!isValidTable(table) || reader.nextValue() != JsonToken.START_ARRAY) {
            throw reader.malformed("POOL needs a table from 0 to 15 and its rows");
        }
        List<Endpoint> entries = new ArrayList<>();
        while (reader.hasNextRow()) {
            reader.beginArray();
            entries.add(entry());
            reader.endArray();
        }
        tables.set(table, entries);
    }

    private Endpoint entry() throws IOException {
        CellId cell = new CellId((int) reader.integer("block", 0));
        NodeState state = state((int) reader.integer("stage-state"));
        MachineKind kind = new MachineKind((int) reader.integer("sku", 0));
        double size = reader.number("power-hint", 1);
        long startedAt = toTicks(reader.number("ready-at-s", 0));
        NodeId node = new NodeId(reader.integer("node"));
        ZoneId zone = new ZoneId((int) reader.integer("dc", 0));
        return new Endpoint(node, state, kind, size, startedAt, cell, zone);
    }

    private NodeState state(int ordinal) {
        NodeState[] states = NodeState.values();
        if (ordinal < 0 || ordinal >= states.length) {
            throw reader.malformed("stage-state is out of range");
        }
        return states[ordinal];
    }
}
