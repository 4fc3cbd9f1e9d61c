package cairnbridge.admin;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.stream.Stream;

/**
 * The metrics of a proxy. The class is thread-safe. A request is counted when it has actually
 * ended, and an attempt when it has actually been sent or rejected.
 */
public final class ProxyMetrics {
    /** The outcome of a request. The metric names contain the constants in lower case. */
    public enum RequestOutcome {
        /** The request was served. */
        SUCCESS,
        /** The request was rejected and may be retried. */
        BUSY,
        /** The request failed permanently. */
        FAILURE
    }

    /**
     * Why an attempt that the router requested was not sent. The metric names contain the constants
     * in lower case.
     */
    public enum AttemptRejection {
        /** The client closed the connection or cancelled the request. */
        CLIENT_GONE,
        /** The request has already been answered. */
        OP_OVER,
        /** The node accepts no new attempts. */
        NODE_CLOSED,
        /** The latest start time of the attempt has passed. */
        TOO_LATE
    }

    private static final String PREFIX = "lb.";
    private static final char COUNTER = 'c';
    private static final char GAUGE = 'g';
    private static final int INITIAL_LENGTH = 256;

    private final Map<String, LongAdder[]> outcomesByName = new LinkedHashMap<>();
    private final LongAdder[][] outcomesByCategory;
    private final LongAdder requestsAccepted = new LongAdder();
    private final LongAdder requestsEnded = new LongAdder();
    private final LongAdder attempts = new LongAdder();
    private final LongAdder[] rejections =
            Stream.generate(LongAdder::new)
                    .limit(AttemptRejection.values().length)
                    .toArray(LongAdder[]::new);
    private volatile int listedNodes;
    private volatile int avoidedNodes;

    /** The metrics of the memory that bodies share, by name. */
    private volatile Supplier<Map<String, Long>> memoryMetrics = Map::of;

    /** The metrics of optional features that are enabled, by name. */
    private volatile Supplier<Map<String, Long>> additionalMetrics = Map::of;

    /**
     * Creates metrics with all values 0.
     *
     * @param categories the names of the request categories; a category is identified by its index
     *     in this list, and categories with the same name share their counters
     */
    public ProxyMetrics(List<String> categories) {
        for (String name : categories) {
            outcomesByName.putIfAbsent(
                    name, new LongAdder[] {new LongAdder(), new LongAdder(), new LongAdder()});
        }
        outcomesByCategory =
                categories.stream().map(outcomesByName::get).toArray(LongAdder[][]::new);
    }

    /** Counts a request that was accepted. */
    public void requestAccepted() {
        requestsAccepted.increment();
    }

    /** Counts the outcome of a request, by category. */
    public void requestEnded(int category, RequestOutcome outcome) {
        outcomesByCategory[category][outcome.ordinal()].increment();
        requestsEnded.increment();
    }

    /** Counts a request whose client disconnected before the answer; no outcome is counted. */
    public void requestCancelled() {
        requestsEnded.increment();
    }

    /** Sets the source of the metrics of memory; a name that ends in _total denotes a counter. */
    public void setMemoryMetrics(Supplier<Map<String, Long>> metrics) {
        memoryMetrics = metrics;
    }

    /** Counts an attempt whose request has been written completely. */
    public void attemptSent() {
        attempts.increment();
    }

    /** Counts an attempt that the router requested but that was not sent. */
    public void attemptRejected(AttemptRejection reason) {
        rejections[reason.ordinal()].increment();
    }

    /** Sets the number of nodes in the endpoint list. */
    public void setListedNodes(int nodes) {
        listedNodes = nodes;
    }

    /** Sets the number of nodes that receive less than their share of the requests. */
    public void setAvoidedNodes(int nodes) {
        avoidedNodes = nodes;
    }

    /** Sets a source of further metrics; a name that ends in _total denotes a counter. */
    public void addMetrics(Supplier<Map<String, Long>> metrics) {
        additionalMetrics = metrics;
    }

    /** Formats one metric per line: name, value, and c for a counter or g for a gauge. */
    public String format() {
        StringBuilder text = new StringBuilder(INITIAL_LENGTH);
        outcomesByName.forEach((name, counters) -> appendOutcomes(text, name, counters));
        append(text, "backend_calls", attempts.sum(), COUNTER);
        // Read before requestsAccepted: guards against a negative gauge when a request is
        // accepted and ends between the two reads.
        long ended = requestsEnded.sum();
        append(text, "inflight", requestsAccepted.sum() - ended, GAUGE);
        append(text, "hosts_listed", listedNodes, GAUGE);
        append(text, "hosts_down", avoidedNodes, GAUGE);
        for (AttemptRejection reason : AttemptRejection.values()) {
            String name = "attempts_refused." + lowerCase(reason);
            append(text, name, rejections[reason.ordinal()].sum(), COUNTER);
        }
        appendNamed(text, memoryMetrics.get());
        appendNamed(text, additionalMetrics.get());
        return text.toString();
    }

    private static void appendNamed(StringBuilder text, Map<String, Long> metrics) {
        metrics.forEach(
                (name, value) ->
                        append(text, name, value, name.endsWith("_total") ? COUNTER : GAUGE));
    }

    private static void appendOutcomes(StringBuilder text, String category, LongAdder[] counters) {
        for (RequestOutcome outcome : RequestOutcome.values()) {
            String name = "calls." + category + "." + lowerCase(outcome);
            append(text, name, counters[outcome.ordinal()].sum(), COUNTER);
        }
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }

    private static void append(StringBuilder text, String name, long value, char type) {
        text.append(PREFIX).append(name).append(':').append(value).append('|').append(type);
        text.append('\n');
    }
}
