package cairnbridge.adapter;

import cairnbridge.decision.Host;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import cairnbridge.time.Ticks;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;

/** Writes the actions of one instance into the reply that is being built. */
final class ActionWriter implements Host {
    private static final int ALL_PEERS = -1;

    private final JsonGenerator out;
    private final int instance;

    ActionWriter(JsonGenerator out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    /** Writes the values of an action. */
    private interface Values {
        void write() throws IOException;
    }

    private void writeAction(String name, Values values) {
        try {
            out.writeStartArray();
            out.writeString(name);
            out.writeNumber(instance);
            values.write();
            out.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Ticks as seconds, written exactly; formatting a double would take longer. */
    private void writeSeconds(long ticks) throws IOException {
        long positive = Math.max(0, ticks);
        long seconds = Ticks.toSeconds(positive);
        // The leading 1 keeps the zeros behind it, and is cut off.
        String fraction = Long.toString(Ticks.SECOND + positive % Ticks.SECOND);
        out.writeNumber(seconds + "." + fraction.substring(1));
    }

    @Override
    public void sendAttempt(RequestId op, NodeId node, long timeOut, long latestBegin) {
        writeAction(
                "ATTEMPT",
                () -> {
                    out.writeNumber(op.value());
                    out.writeNumber(node.value());
                    writeSeconds(timeOut);
                });
    }

    @Override
    public void cancelAttempt(RequestId op, int push) {
        writeAction(
                "ABORT_ATTEMPT",
                () -> {
                    out.writeNumber(op.value());
                    out.writeNumber(push);
                });
    }

    @Override
    public void rejectRetryable(RequestId op, long retryAfter) {
        writeAction(
                "PUSH_BACK",
                () -> {
                    out.writeNumber(op.value());
                    writeSeconds(retryAfter);
                });
    }

    @Override
    public void failPermanently(RequestId op) {
        writeAction("FAIL", () -> out.writeNumber(op.value()));
    }

    @Override
    public void startTimer(long in, TimerId timer) {
        writeAction(
                "REMIND",
                () -> {
                    writeSeconds(in);
                    out.writeNumber(timer.value());
                });
    }

    @Override
    public void checkHealth(NodeId node) {
        writeAction("TEST", () -> out.writeNumber(node.value()));
    }

    @Override
    public void sendToPeer(PeerId peer, byte[] body) {
        writeAction(
                "NOTIFY",
                () -> {
                    out.writeNumber(peer == null ? ALL_PEERS : peer.value());
                    out.writeString(HexFormat.of().formatHex(body));
                });
    }

    @Override
    public void subscribeToEndpoints(boolean on) {
        writeAction("TAIL", () -> out.writeBoolean(on));
    }

    @Override
    public void fetchEndpointList() {
        writeAction("LIST_ALL", () -> {});
    }

    @Override
    public void avoidedNodeCountChanged(int nodes) {
        // The wire has no message for it.
    }

    @Override
    public void log(String line) {
        writeAction("WRITE_LOG", () -> out.writeString(line));
    }

    /** Reports that the instance has failed. */
    void internalError(String text) {
        writeAction("INTERNAL_ERROR", () -> out.writeString(text));
    }
}
