package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * The state that all client requests are parsed with: the clock, the metrics, the categories, the
 * limits on deadlines and the filter. Thread-safe: the shutdown deadline and the filter are
 * volatile, and the other fields do not change.
 */
public final class RequestContext {
    /** Guards against a TTL of an hour, which would hold a request in memory for an hour. */
    private static final long MAX_TTL_TICKS = 60 * Ticks.SECOND;

    /** The share of the bytes for bodies that the bodies of requests may occupy. */
    private static final double REQUEST_BODIES_SHARE = 0.5;

    /** The share of the bytes for bodies that the bodies of answers may occupy. */
    private static final double ANSWER_BODIES_SHARE = 0.5;

    private final TickClock clock;
    private final ProxyMetrics metrics;
    private final Map<String, CategoryId> categories = new HashMap<>();
    private final MemoryBudget requestBodies;
    private final MemoryBudget answerBodies;
    private final LongAdder rejectedForMemory = new LongAdder();
    private volatile long shutdownDeadlineTicks = Long.MAX_VALUE;
    private volatile RequestFilter filter = RequestFilter.NONE;

    /**
     * Creates a context without a filter.
     *
     * @param categories the category names that a path may begin with, ordered by category id
     * @param heapAccount tells how much memory there is for bodies
     */
    public RequestContext(
            TickClock clock,
            List<String> categories,
            ProxyMetrics metrics,
            HeapAccount heapAccount) {
        this.clock = clock;
        this.metrics = metrics;
        requestBodies = createBudget(heapAccount, REQUEST_BODIES_SHARE);
        answerBodies = createBudget(heapAccount, ANSWER_BODIES_SHARE);
        metrics.setMemoryMetrics(this::memoryMetrics);
        for (String name : categories) {
            this.categories.putIfAbsent(name, new CategoryId(this.categories.size()));
        }
    }

    private static MemoryBudget createBudget(HeapAccount heapAccount, double share) {
        return new MemoryBudget(() -> (long) (share * heapAccount.bodyBytes()));
    }

    /** The clock that all deadlines refer to. */
    public TickClock clock() {
        return clock;
    }

    /** The metrics in which requests are counted. */
    public ProxyMetrics metrics() {
        return metrics;
    }

    /** The memory that the bodies of all requests share, buffered and streamed ones. */
    public MemoryBudget requestBodies() {
        return requestBodies;
    }

    /** The memory that the answers to all requests share, buffered and streamed ones. */
    public MemoryBudget answerBodies() {
        return answerBodies;
    }

    /** Counts a request that was rejected because there was no memory for its body. */
    void requestRejectedForMemory() {
        rejectedForMemory.increment();
    }

    private Map<String, Long> memoryMetrics() {
        return new TreeMap<>(
                Map.of(
                        "memory.answers", answerBodies.reservedBytes(),
                        "memory.refused_total", rejectedForMemory.sum(),
                        "memory.requests", requestBodies.reservedBytes()));
    }

    /** Sets the filter that every later request passes through, in place of the present one. */
    public void setFilter(RequestFilter filter) {
        this.filter = filter;
    }

    /** The present filter; {@link RequestFilter#NONE} until one is set. */
    public RequestFilter filter() {
        return filter;
    }

    /** Limits the deadlines of all later requests to this time, in ticks of the clock. */
    public void setShutdownDeadline(long ticks) {
        shutdownDeadlineTicks = ticks;
    }

    /**
     * The deadline of a request: its TTL from its last byte, but at most a minute, and no later
     * than the shutdown deadline.
     *
     * @param now the time of the last byte in ticks
     * @param ttlTicks the TTL that the client has sent
     */
    public long deadline(long now, long ttlTicks) {
        return Math.min(now + Math.min(ttlTicks, MAX_TTL_TICKS), shutdownDeadlineTicks);
    }

    /** The category with this name; empty if the settings define none. */
    Optional<CategoryId> category(String name) {
        return Optional.ofNullable(categories.get(name));
    }
}
