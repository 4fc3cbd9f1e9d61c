package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What every request is read with: the clock, the metrics, the categories, the deadlines and the
 * filter. Any thread may call it: the shutdown deadline and the filter are volatile, everything
 * else is set once.
 */
public final class RequestContext {
    /** Guards against an hour of patience that would be an hour of memory. */
    private static final long MAX_TTL_TICKS = 60 * Ticks.SECOND;

    private final TickClock clock;
    private final ProxyMetrics metrics;
    private final Map<String, CategoryId> categories = new HashMap<>();
    private final AtomicLong pipedBytes = new AtomicLong();
    private volatile long shutdownDeadlineTicks = Long.MAX_VALUE;
    private volatile RequestFilter filter = RequestFilter.NONE;

    /**
     * A context without a filter.
     *
     * @param categories the names that a path may begin with, by the numbers of the settings
     */
    public RequestContext(TickClock clock, List<String> categories, ProxyMetrics metrics) {
        this.clock = clock;
        this.metrics = metrics;
        for (String name : categories) {
            this.categories.putIfAbsent(name, new CategoryId(this.categories.size()));
        }
    }

    /** The clock of all deadlines. */
    public TickClock clock() {
        return clock;
    }

    /** Where requests are counted. */
    public ProxyMetrics metrics() {
        return metrics;
    }

    /** The bytes that all pipes of this proxy buffer together. */
    public AtomicLong pipedBytes() {
        return pipedBytes;
    }

    /** Sees each request from now on, until another filter is set. */
    public void setFilter(RequestFilter filter) {
        this.filter = filter;
    }

    /** The filter in force. */
    public RequestFilter filter() {
        return filter;
    }

    /** From now on no request gets a deadline later than this time, in ticks of the clock. */
    public void setShutdownDeadline(long ticks) {
        shutdownDeadlineTicks = ticks;
    }

    /**
     * When a request that is complete must have been answered: as its client says, within a minute,
     * and before the proxy shuts down.
     *
     * @param now the present time in ticks
     */
    public long deadline(long now, long ttlTicks) {
        return Math.min(now + Math.min(ttlTicks, MAX_TTL_TICKS), shutdownDeadlineTicks);
    }

    /**
     * The same for a request whose body is still being received, which may take its time.
     *
     * @param bytesLeft how much of the body is yet to come, at most
     */
    public long streamingDeadline(long now, long ttlTicks, long bytesLeft) {
        long slowestMillis = bytesLeft / ListenerState.MIN_BODY_BYTES_PER_MILLI;
        long slowestTicks = Ticks.fromMillis(slowestMillis) + Ticks.SECOND;
        return Math.min(
                now + Math.min(ttlTicks, MAX_TTL_TICKS) + slowestTicks, shutdownDeadlineTicks);
    }

    /** The category of a name; empty if the settings have none of that name. */
    Optional<CategoryId> category(String name) {
        return Optional.ofNullable(categories.get(name));
    }
}
