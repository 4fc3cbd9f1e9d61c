package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** What is read off every request, and whether the proxy takes ops yet or is about to end. */
final class ListenerState {
    /** Whether the proxy takes requests. */
    enum State {
        STARTING,
        SERVING,
        STANDBY,
        DRAINING
    }

    /**
     * No op is kept longer, whatever its client says: an hour of patience would be an hour of
     * memory.
     */
    private static final long MAX_TTL_TICKS = 60 * TickClock.TICKS_PER_SECOND;

    /** Bytes a millisecond that a client gives of its body, at the least. */
    static final long MIN_BODY_BYTES_PER_MILLI = 48;

    final TickClock clock;

    /** What all pipes hold. */
    final AtomicLong pipedBytes = new AtomicLong();

    private volatile long shutdownDeadlineTicks = Long.MAX_VALUE;
    private final Map<String, Integer> categories = new HashMap<>();

    /**
     * Ready, "the answer closes" and the closing of idle connections all derive from this one
     * state.
     */
    private volatile State state = State.STARTING;

    private boolean standbyRequested;
    volatile boolean crowded;
    final ProxyMetrics metrics;

    /** Its requests are none of the clients'; it stays, to know them. */
    volatile Warmup warmup;

    ListenerState(TickClock clock, List<String> names, ProxyMetrics figures) {
        this.metrics = figures;
        this.clock = clock;
        names.forEach(name -> categories.putIfAbsent(name, categories.size()));
    }

    State state() {
        return state;
    }

    /** The start is over. */
    synchronized void startServing() {
        state = state == State.STARTING ? standbyRequested ? State.STANDBY : State.SERVING : state;
    }

    /** Guards against a call that makes a proxy ready which has not started yet, or which ends. */
    synchronized void setStandby(boolean on) {
        standbyRequested = on;
        if (state == State.SERVING || state == State.STANDBY) {
            state = on ? State.STANDBY : State.SERVING;
        }
    }

    synchronized void startDraining() {
        state = State.DRAINING;
    }

    boolean isReady() {
        return state == State.SERVING;
    }

    /** The connection is to end with the answer given on it. */
    boolean isClosingConnections() {
        State now = state;
        return crowded || now == State.STANDBY || now == State.DRAINING;
    }

    /** No op is kept beyond this time of the clock. */
    void setShutdownDeadline(long end) {
        shutdownDeadlineTicks = end;
    }

    /**
     * When an op read at a time ends: as its client says, a minute at most, and before the proxy
     * does.
     */
    long deadline(long now, long ttl) {
        return Math.min(now + Math.min(ttl, MAX_TTL_TICKS), shutdownDeadlineTicks);
    }

    /** The same for one whose body passes through: its client may take its time for the rest. */
    long streamingDeadline(long now, long ttl, long left) {
        long slowest =
                left / MIN_BODY_BYTES_PER_MILLI * TickClock.TICKS_PER_MILLI
                        + TickClock.TICKS_PER_SECOND;
        return Math.min(now + Math.min(ttl, MAX_TTL_TICKS) + slowest, shutdownDeadlineTicks);
    }

    /** Guards against the absolute form, which every server has to take: only its path goes on. */
    static String pathOf(String target) {
        int scheme = target.startsWith("/") ? -1 : target.indexOf("://");
        int path = scheme < 0 ? 0 : target.indexOf('/', scheme + 3);
        return path < 0 ? "/" : target.substring(path);
    }

    /** A category's number by its name, or null. */
    Integer categoryNumber(String name) {
        return categories.get(name);
    }

    /**
     * A number and a unit, m for milliseconds or u for microseconds, in tenths; 0 where it is none.
     */
    static long parseTtlTicks(String text) {
        int last = text == null ? 0 : text.length() - 1;
        if (last < 1 || last > 12) {
            return 0;
        }
        long number = 0;
        for (int i = 0; i < last; i++) {
            int digit = text.charAt(i) - '0';
            if (digit < 0 || digit > 9) {
                return 0;
            }
            number = number * 10 + digit;
        }
        return switch (text.charAt(last)) {
            case 'm' -> number * TickClock.TICKS_PER_MILLI;
            case 'u' -> number / (1000 / TickClock.TICKS_PER_MILLI);
            default -> 0;
        };
    }
}
