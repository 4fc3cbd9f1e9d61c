package cairnbridge.lab.run;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.TreeMap;

/** A run's outcome as lines of JSON, with fields in a fixed order. */
public final class RunRecord {
    private static final ObjectMapper JSON = new ObjectMapper();

    private RunRecord() {}

    /** Sums, checks and crashes; without samples. */
    public static ObjectNode sums(Outcome outcome) {
        ObjectNode node = JSON.createObjectNode();
        node.put("held", outcome.held()).put("service", round(outcome.service()));
        node.put("simulated-ms", outcome.simulatedMillis()).put("asked", outcome.asked());
        node.put("served", outcome.served())
                .put("refused", outcome.refused())
                .put("failed", outcome.failed());
        node.put("lost", outcome.lost())
                .put("repeats", outcome.repeats())
                .put("fetches", outcome.fetches());
        node.put("turned-away", outcome.turnedAway()).put("twice", outcome.twice());
        node.put("felled", outcome.felled())
                .put("pushes", outcome.pushes())
                .put("events", outcome.events());
        node.put("median-ms", round(outcome.medianSpan())).put("p99-ms", round(outcome.span99()));
        ArrayNode checks = node.putArray("checks");
        outcome.checks()
                .forEach(
                        each ->
                                checks.addObject()
                                        .put("line", each.line())
                                        .put("step", each.step())
                                        .put("held", each.held())
                                        .put("figures", each.figures()));
        ObjectNode crashes = node.putObject("crashes");
        new TreeMap<>(outcome.crashes()).forEach(crashes::put);
        return node;
    }

    private static double round(double figure) {
        return Double.parseDouble(String.format(Locale.ROOT, "%.5f", figure));
    }

    /** A line a sample, then a line of sums. */
    public static String lines(Outcome outcome) {
        StringBuilder text = new StringBuilder();
        for (Outcome.Sample each : outcome.samples()) {
            ObjectNode sample =
                    JSON.createObjectNode()
                            .put("ms", each.millis())
                            .put("asked", each.asked())
                            .put("served", each.served())
                            .put("refused", each.refused())
                            .put("failed", each.failed())
                            .put("lost", each.lost())
                            .put("repeats", each.repeats())
                            .put("fetches", each.fetches())
                            .put("running", each.running())
                            .put("taking", each.taking())
                            .put("least-held", each.leastHeld())
                            .put("most-held", each.mostHeld())
                            .put("returning", each.returning());
            ObjectNode zones = sample.putObject("zones");
            each.zones()
                    .forEach(
                            (zone, count) ->
                                    zones.putObject(zone)
                                            .put("asked", count.asked())
                                            .put("served", count.served()));
            ObjectNode home = sample.putObject("home");
            each.home().forEach(home::put);
            text.append(line(sample)).append('\n');
        }
        ObjectNode sums = sums(outcome);
        ArrayNode spans = sums.putArray("spans");
        outcome.spans().forEach(each -> spans.addArray().add(each.percent()).add(each.millis()));
        return text.append(line(sums)).append('\n').toString();
    }

    /** A line of JSON. */
    public static String line(ObjectNode node) {
        try {
            return JSON.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e); // There is no I/O in it.
        }
    }
}
