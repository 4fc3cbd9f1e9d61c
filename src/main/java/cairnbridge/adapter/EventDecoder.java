package cairnbridge.adapter;

import static cairnbridge.config.SettingsReader.toTicks;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.PeerId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TenantId;
import cairnbridge.decision.Ids.TimerId;
import java.io.IOException;
import java.util.HexFormat;

/**
 * Decodes the messages that become router events. Values are positional: each method must read them
 * in the order of the protocol.
 */
final class EventDecoder {
    private static final int HEX_RADIX = 16;
    private static final int MAX_KEY_DIGITS = 16;
    private static final long UNKNOWN_SIZE = -1;

    private final MessageReader reader;
    private final EndpointTables tables;

    /**
     * Creates a decoder.
     *
     * @param reader positioned at the first value when {@link #decode} is called
     * @param tables the endpoint lists that MEMBERSHIP messages refer to
     */
    EventDecoder(MessageReader reader, EndpointTables tables) {
        this.reader = reader;
        this.tables = tables;
    }

    /**
     * Decodes the values of a message into an event.
     *
     * @param message the name of the message
     * @param reportWidth the number of values in a load report of the instance
     */
    Event decode(String message, int reportWidth) throws IOException {
        return switch (message) {
            case "ORDER" -> requestArrived();
            case "FINISHED" -> attemptEnded(reportWidth);
            case "WAKEUP" -> new Event.TimerFired(new TimerId(reader.integer("key-back")));
            case "GONE" -> new Event.RequestCancelled(new RequestId(reader.integer("rid")));
            case "STREAMING" -> streamingStarted();
            case "MEMBERSHIP" -> endpointList();
            case "PING_RESULT" -> healthCheckEnded(reportWidth);
            case "NEIGHBOUR_SAYS" -> peerMessage();
            default -> throw reader.malformed("unknown message " + message);
        };
    }

    private Event requestArrived() throws IOException {
        RequestId request = new RequestId(reader.integer("rid"));
        CategoryId category = new CategoryId((int) reader.integer("kind"));
        TenantId tenant = new TenantId((int) reader.integer("user-group", 0));
        KeyId key = reader.optionalText("target-key").map(this::key).orElse(null);
        long deadline = toTicks(reader.number("expires-s"));
        long work = toTicks(reader.number("work-s", 0));
        long size = reader.integer("size", UNKNOWN_SIZE);
        boolean clientRetry = reader.flag("repeat");
        boolean isWrite = reader.flag("is-write");
        return new Event.RequestArrived(
                request, category, tenant, key, deadline, work, size, clientRetry, isWrite);
    }

    private KeyId key(String digits) {
        try {
            if (digits.length() <= MAX_KEY_DIGITS) {
                return new KeyId(Long.parseUnsignedLong(digits, HEX_RADIX));
            }
        } catch (NumberFormatException e) {
            throw malformedKey();
        }
        throw malformedKey();
    }

    private MalformedInputException malformedKey() {
        return reader.malformed("target-key is not a key of " + MAX_KEY_DIGITS + " hex digits");
    }

    private Event attemptEnded(int reportWidth) throws IOException {
        RequestId request = new RequestId(reader.integer("rid"));
        int cacheStatus = (int) reader.integer("detail", 0);
        AttemptOutcome outcome = outcome(reader.text("reason"));
        int attempt = (int) reader.integer("round-no");
        boolean requestOver = reader.flag("no-more");
        NodeId node = new NodeId(reader.integer("node"));
        long duration = toTicks(reader.number("rtt-s", 0));
        double[] report = reader.numbers("usage", reportWidth);
        return new Event.AttemptEnded(
                request, attempt, node, outcome, cacheStatus, duration, requestOver, report);
    }

    private AttemptOutcome outcome(String code) {
        return switch (code) {
            case "S" -> AttemptOutcome.SUCCESS;
            case "E" -> AttemptOutcome.ERROR;
            case "F" -> AttemptOutcome.OVERLOADED;
            case "T" -> AttemptOutcome.TIMED_OUT;
            case "C" -> AttemptOutcome.CONNECT_FAILED;
            case "R" -> AttemptOutcome.CONNECTION_LOST;
            case "X" -> AttemptOutcome.CANCELLED;
            case "N" -> AttemptOutcome.NOT_SENT;
            case "M" -> AttemptOutcome.CACHE_MISS;
            default -> throw reader.malformed("unknown ending " + code);
        };
    }

    private Event streamingStarted() throws IOException {
        RequestId request = new RequestId(reader.integer("rid"));
        NodeId node = new NodeId(reader.integer("node"));
        long elapsed = toTicks(reader.number("rtt-s"));
        int attempt = (int) reader.integer("round-no");
        return new Event.StreamingStarted(request, attempt, node, elapsed);
    }

    private Event healthCheckEnded(int reportWidth) throws IOException {
        long duration = toTicks(reader.number("rtt-s"));
        AttemptOutcome outcome = outcome(reader.text("reason"));
        NodeId node = new NodeId(reader.integer("node"));
        double[] report = reader.numbers("usage", reportWidth);
        return new Event.HealthCheckEnded(node, outcome, duration, report);
    }

    private Event peerMessage() throws IOException {
        PeerId from = new PeerId((int) reader.integer("from"));
        String body = reader.text("body");
        try {
            return new Event.PeerMessageReceived(from, HexFormat.of().parseHex(body));
        } catch (IllegalArgumentException e) {
            throw reader.malformed("body is not hex");
        }
    }

    private Event endpointList() throws IOException {
        int scopeNumber = (int) reader.integer("scope");
        long version = reader.integer("index", 0);
        int table = (int) reader.integer("table", 0);
        ListScope[] scopes = ListScope.values();
        if (scopeNumber < 0 || scopeNumber >= scopes.length) {
            throw reader.malformed("scope or table is out of range");
        }
        ListScope scope = scopes[scopeNumber];
        return new Event.EndpointListReceived(scope, version, tables.entries(scope, table));
    }
}
