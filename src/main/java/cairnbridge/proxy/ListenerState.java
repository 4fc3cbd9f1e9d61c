package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.List;

/**
 * Whether the proxy accepts requests. Readiness, the closing of connections with their answers and
 * the closing of idle connections all derive from this one state. Any thread may call it.
 */
public final class ListenerState {
    /** Whether the proxy accepts requests. */
    public enum State {
        /** Not yet; connections may be open already. */
        STARTING,
        /** Requests are accepted. */
        SERVING,
        /** Requests are answered, and clients asked to go elsewhere. */
        STANDBY,
        /** The proxy shuts down. */
        DRAINING
    }

    /** The slowest that a client may send its body, in bytes per millisecond. */
    public static final long MIN_BODY_BYTES_PER_MILLI = 48;

    private volatile State state = State.STARTING;

    @GuardedBy("this")
    private boolean standbyRequested;

    /** Written by ConnectionReactor until it calls {@link #setCrowded}. */
    volatile boolean crowded;

    /** Read by ProxyServer and Warmup until they are given the clock or the request context. */
    final TickClock clock;

    /** Set by Warmup until it is a {@link RequestFilter} of the request context. */
    volatile Warmup warmup;

    private final RequestContext requestContext;

    /** Until ProxyServer makes the request context itself, which ClientExchange is then given. */
    ListenerState(TickClock clock, List<String> categories, ProxyMetrics metrics) {
        this.clock = clock;
        requestContext = new RequestContext(clock, categories, metrics);
        requestContext.setFilter(new WarmupFilter());
    }

    /** Calls Warmup as long as that is no filter itself. */
    private final class WarmupFilter implements RequestFilter {
        @Override
        public boolean intercept(ClientExchange exchange, long deadlineTicks) {
            Warmup current = warmup;
            boolean owned = current != null && current.isWarmupRequest(exchange.traceId());
            if (owned) {
                current.answerWarmup(exchange, deadlineTicks);
            }
            return owned;
        }
    }

    /** As {@link RequestContext#setShutdownDeadline}, until ProxyServer calls that. */
    void setShutdownDeadline(long ticks) {
        requestContext.setShutdownDeadline(ticks);
    }

    /** What the requests of this listener are read with. */
    RequestContext requestContext() {
        return requestContext;
    }

    /** The present state. */
    public State state() {
        return state;
    }

    /** The start is complete. */
    public synchronized void startServing() {
        if (state == State.STARTING) {
            state = standbyRequested ? State.STANDBY : State.SERVING;
        }
    }

    /**
     * Puts the proxy into standby or back. Guards against a command that makes a proxy ready which
     * has not started yet, or which shuts down.
     */
    public synchronized void setStandby(boolean on) {
        standbyRequested = on;
        if (state == State.SERVING || state == State.STANDBY) {
            state = on ? State.STANDBY : State.SERVING;
        }
    }

    /** The proxy shuts down; no other state follows. */
    public synchronized void startDraining() {
        state = State.DRAINING;
    }

    /** Whether load balancers may send clients here. */
    public boolean isReady() {
        return state == State.SERVING;
    }

    /** Whether a connection is to be closed with the next answer on it. */
    public boolean isClosingConnections() {
        State current = state;
        return crowded || current == State.STANDBY || current == State.DRAINING;
    }

    /** Whether clients hold so many connections that each is to end with its next answer. */
    public void setCrowded(boolean crowded) {
        this.crowded = crowded;
    }
}
