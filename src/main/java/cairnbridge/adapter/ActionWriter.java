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

/** Writes the actions of one router instance to the reply of the current batch. */
final class ActionWriter implements Host {
    private static final int ALL_PEERS = -1;

    private final JsonGenerator out;
    private final int instance;

    ActionWriter(JsonGenerator out, int instance) {
        this.out = out;
        this.instance = instance;
    }

    /** Writes the values that follow the action name and the instance id. */
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

    /** Writes ticks as decimal seconds, without rounding and faster than formatting a double. */
    private void writeSeconds(long ticks) throws IOException {
        long positive = Math.max(0, ticks);
        long seconds = Ticks.toSeconds(positive);
        // Adding one second keeps the leading zeros of the fraction; the first digit, 1, is
        // dropped.
        String fraction = Long.toString(Ticks.SECOND + positive % Ticks.SECOND);
        out.writeNumber(seconds + "." + fraction.substring(1));
    }

    @Override
    public void sendAttempt(RequestId request, NodeId node, long timeout, long latestStart) {
        writeAction(
                "ATTEMPT",
                () -> {
                    out.writeNumber(request.value());
                    out.writeNumber(node.value());
                    writeSeconds(timeout);
                });
    }

    @Override
    public void cancelAttempt(RequestId request, int attempt) {
        writeAction(
                "ABORT_ATTEMPT",
                () -> {
                    out.writeNumber(request.value());
                    out.writeNumber(attempt);
                });
    }

    @Override
    public void rejectRetryable(RequestId request, long retryAfter) {
        writeAction(
                "PUSH_BACK",
                () -> {
                    out.writeNumber(request.value());
                    writeSeconds(retryAfter);
                });
    }

    @Override
    public void failPermanently(RequestId request) {
        writeAction("FAIL", () -> out.writeNumber(request.value()));
    }

    @Override
    public void startTimer(long delay, TimerId timer) {
        writeAction(
                "REMIND",
                () -> {
                    writeSeconds(delay);
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
    public void avoidedNodeCountChanged(int count) {
        // The adapter protocol has no message for this count.
    }

    @Override
    public void log(String line) {
        writeAction("WRITE_LOG", () -> out.writeString(line));
    }

    /** Reports that the router of the instance has thrown an exception. */
    void internalError(String text) {
        writeAction("INTERNAL_ERROR", () -> out.writeString(text));
    }
}
