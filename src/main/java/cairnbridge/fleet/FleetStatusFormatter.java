package cairnbridge.fleet;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.ZoneOutcome;
import cairnbridge.fleet.membership.MembershipStatistics;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.transport.RejectionReason;
import cairnbridge.fleet.transport.TransportMetrics;
import cairnbridge.time.Ticks;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * Formats a view for operators: as a table, as one line of JSON, and as metrics. Column names, JSON
 * keys and metric names are part of the external interface; some differ from the names in the code.
 */
final class FleetStatusFormatter {
    private static final JsonFactory JSON = new JsonFactory();
    private static final String ROW_FORMAT = "%-20s %-8s %-9s %-8s %-8s %-18s %-8s %6s %7s %s%n";
    private static final Object[] COLUMNS = {
        "MEMBER",
        "STANDING",
        "STATE",
        "ZONE",
        "REGION",
        "INCARNATION",
        "PROTOCOL",
        "LOAD",
        "ROSTER",
        "AT"
    };
    private static final String UNKNOWN = "-";

    private FleetStatusFormatter() {}

    private static List<MemberState> sorted(MembershipView view) {
        return view.members().stream().sorted(Comparator.comparing(MemberState::id)).toList();
    }

    private static String lowerCase(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    // The table.

    /** A table with one row for each member, and a summary line. */
    static String membersTable(MembershipView view) {
        StringBuilder text = new StringBuilder();
        appendRow(text, COLUMNS);
        for (MemberState member : sorted(view)) {
            appendMember(text, member, member.id().equals(view.self()));
        }
        MembershipStatistics.Members members = view.statistics().members();
        return text.append(members.alive())
                .append(" alive, ")
                .append(members.suspect())
                .append(" suspect, ")
                .append(members.dead())
                .append(" dead, ")
                .append(members.left())
                .append(" left; view ")
                .append(Long.toHexString(view.digest()))
                .append(", settled for ")
                .append(Ticks.toSeconds(view.statistics().stableFor()))
                .append(" s\n")
                .toString();
    }

    private static void appendMember(StringBuilder text, MemberState member, boolean isSelf) {
        Optional<MemberMetadata> metadata = member.knownMetadata();
        appendRow(
                text,
                member.id() + (isSelf ? "*" : ""),
                lowerCase(member.status()),
                cell(metadata, known -> lowerCase(known.lifecycle())),
                cell(metadata, MemberMetadata::zone),
                cell(metadata, MemberMetadata::region),
                member.incarnation().toString(),
                cell(metadata, MemberMetadata::protocolVersion),
                cell(metadata, known -> known.metrics().load().requestsInFlight()),
                cell(metadata, known -> known.metrics().endpointList().version()),
                member.endpoint().toString());
    }

    private static String cell(
            Optional<MemberMetadata> metadata, Function<MemberMetadata, Object> value) {
        return metadata.map(value).map(String::valueOf).orElse(UNKNOWN);
    }

    private static void appendRow(StringBuilder text, Object... cells) {
        text.append(String.format(Locale.ROOT, ROW_FORMAT, cells));
    }

    // JSON.

    /** The view as one object. */
    static String toJson(MembershipView view) {
        return json(
                generator -> {
                    generator.writeStartObject();
                    generator.writeStringField("self", view.self().name());
                    generator.writeStringField("view", Long.toHexString(view.digest()));
                    generator.writeNumberField(
                            "settled-ms", Ticks.toMillis(view.statistics().stableFor()));
                    generator.writeArrayFieldStart("members");
                    for (MemberState member : sorted(view)) {
                        writeMember(generator, member);
                    }
                    generator.writeEndArray();
                    generator.writeEndObject();
                });
    }

    /** One member as an object. */
    static String toJson(MemberState member) {
        return json(generator -> writeMember(generator, member));
    }

    private interface JsonContent {
        void writeTo(JsonGenerator generator) throws IOException;
    }

    private static String json(JsonContent content) {
        StringWriter out = new StringWriter();
        try (JsonGenerator generator = JSON.createGenerator(out)) {
            content.writeTo(generator);
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Writes to memory do not fail.
        }
        return out.toString();
    }

    private static void writeMember(JsonGenerator generator, MemberState member)
            throws IOException {
        generator.writeStartObject();
        generator.writeStringField("id", member.id().name());
        generator.writeStringField("at", member.endpoint().toString());
        generator.writeStringField("standing", lowerCase(member.status()));
        generator.writeNumberField("life", member.incarnation().generation());
        generator.writeNumberField("turn", member.incarnation().refutation());
        if (member.reportedBy() != null) {
            generator.writeStringField("by", member.reportedBy().name());
        }
        if (member.metadata() != null) {
            generator.writeNumberField("told", member.metadataVersion());
            writeMetadata(generator, member.metadata());
        }
        generator.writeEndObject();
    }

    private static void writeMetadata(JsonGenerator generator, MemberMetadata metadata)
            throws IOException {
        MemberMetrics.Load load = metadata.metrics().load();
        generator.writeStringField("state", lowerCase(metadata.lifecycle()));
        generator.writeStringField("zone", metadata.zone());
        generator.writeStringField("region", metadata.region());
        generator.writeNumberField("protocol", metadata.protocolVersion());
        generator.writeStringField("clients", metadata.clientAddress());
        generator.writeStringField("door", metadata.adminAddress());
        generator.writeNumberField("load", load.requestsInFlight());
        generator.writeNumberField("limit", load.requestLimit());
        generator.writeNumberField("rate", load.requestsPerSecond());
        generator.writeNumberField("epoch", metadata.planEpoch());
        generator.writeArrayFieldStart("zones");
        for (ZoneOutcome outcome : metadata.metrics().reachability().zoneOutcomes()) {
            generator.writeNumber(outcome.zoneHash());
            generator.writeNumber(outcome.attempts());
            generator.writeNumber(outcome.failures());
        }
        generator.writeEndArray();
        MemberMetrics.EndpointListStatus endpointList = metadata.metrics().endpointList();
        generator.writeNumberField("roster", endpointList.version());
        generator.writeBooleanField("listing", endpointList.watching());
        generator.writeArrayFieldStart("unreachable");
        for (long node : metadata.metrics().reachability().unreachableNodes()) {
            generator.writeString(Long.toHexString(node));
        }
        generator.writeEndArray();
    }

    // Metrics.

    /** The values of metrics by name; names of counters end in {@code _total}. */
    static Map<String, Long> metrics(
            MembershipView view, TransportMetrics transport, int quotaDivisor) {
        MembershipStatistics statistics = view.statistics();
        MembershipStatistics.Members members = statistics.members();
        MembershipStatistics.Counters counters = statistics.counters();
        Map<String, Long> metrics = new LinkedHashMap<>();
        metrics.put("fleet.alive", (long) members.alive());
        metrics.put("fleet.suspect", (long) members.suspect());
        metrics.put("fleet.dead", (long) members.dead());
        metrics.put("fleet.left", (long) members.left());
        metrics.put("fleet.shares", (long) quotaDivisor);
        metrics.put("fleet.doubt", (long) statistics.localHealthScore());
        metrics.put("fleet.settled_ms", Ticks.toMillis(statistics.stableFor()));
        metrics.put("fleet.suspicions_total", counters.suspicions());
        metrics.put("fleet.refutations_total", counters.refutations());
        metrics.put("fleet.deaths_total", counters.deaths());
        metrics.put("fleet.came_back_total", counters.returns());
        metrics.put("fleet.syncs_total", counters.stateExchanges());
        metrics.put("fleet.stood_still_total", counters.pauses());
        metrics.put("fleet.bytes_sent_total", transport.bytesSent());
        metrics.put("fleet.bytes_received_total", transport.bytesReceived());
        metrics.put("fleet.over_budget_total", transport.datagramsOverLimit());
        metrics.put("fleet.failures_total", transport.failures());
        for (RejectionReason reason : RejectionReason.values()) {
            metrics.put(
                    "fleet.refused." + lowerCase(reason) + "_total", transport.rejections(reason));
        }
        return metrics;
    }
}
