package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.List;

/**
 * Whether the proxy accepts requests. Readiness, closing connections after a response and closing
 * idle connections are all derived from this state. Thread-safe.
 */
public final class ListenerState {
    /** The phases of a proxy, from its start to its shutdown. */
    public enum State {
        /** Requests are not accepted yet; connections may be open already. */
        STARTING,
        /** Requests are accepted. */
        SERVING,
        /** Requests are answered, but clients are asked to use another proxy. */
        STANDBY,
        /** The proxy is shutting down. */
        DRAINING
    }

    /** The lowest rate at which a client may send a body, in bytes per millisecond. */
    public static final long MIN_BODY_BYTES_PER_MILLI = 48;

    private volatile State state = State.STARTING;

    @GuardedBy("this")
    private boolean standbyRequested;

    private volatile boolean keepAliveSuspended;

    /** The clock of all deadlines; Warmup reads it from here. */
    final TickClock clock;

    /** Set when the warm-up starts; {@link WarmupFilter} then passes the warm-up requests to it. */
    volatile Warmup warmup;

    private final RequestContext requestContext;

    /** Creates the state of a proxy whose bodies may use the heap of this process. */
    ListenerState(TickClock clock, List<String> categories, ProxyMetrics metrics) {
        this(clock, categories, metrics, HeapAccount.ofProcess());
    }

    /** Creates the state of a proxy that is starting, together with its request context. */
    ListenerState(
            TickClock clock,
            List<String> categories,
            ProxyMetrics metrics,
            HeapAccount heapAccount) {
        this.clock = clock;
        requestContext = new RequestContext(clock, categories, metrics, heapAccount);
        requestContext.setFilter(new WarmupFilter());
    }

    /** Passes the requests of the warm-up to {@link Warmup}. */
    private final class WarmupFilter implements RequestFilter {
        @Override
        public boolean intercept(ClientExchange exchange, long deadlineTicks) {
            Warmup current = warmup;
            boolean isWarmupRequest =
                    current != null && current.isWarmupRequest(exchange.traceId());
            if (isWarmupRequest) {
                current.answerWarmup(exchange, deadlineTicks);
            }
            return isWarmupRequest;
        }
    }

    /** See {@link RequestContext#setShutdownDeadline}. */
    void setShutdownDeadline(long ticks) {
        requestContext.setShutdownDeadline(ticks);
    }

    /** The context in which requests to this listener are parsed and limited. */
    RequestContext requestContext() {
        return requestContext;
    }

    /** The current state. */
    public State state() {
        return state;
    }

    /** Completes the start: the proxy serves, or is in standby if that has been requested. */
    public synchronized void startServing() {
        if (state == State.STARTING) {
            state = standbyRequested ? State.STANDBY : State.SERVING;
        }
    }

    /**
     * Puts the proxy into standby or back into service. Guards against a command that makes a proxy
     * ready before its start is complete, or while it shuts down.
     */
    public synchronized void setStandby(boolean on) {
        standbyRequested = on;
        if (state == State.SERVING || state == State.STANDBY) {
            state = on ? State.STANDBY : State.SERVING;
        }
    }

    /** Begins the shutdown; the state does not change any more. */
    public synchronized void startDraining() {
        state = State.DRAINING;
    }

    /** Whether load balancers may send clients to this proxy. */
    public boolean isReady() {
        return state == State.SERVING;
    }

    /** Whether each connection is closed with its next response. */
    public boolean isClosingConnections() {
        State current = state;
        return keepAliveSuspended || current == State.STANDBY || current == State.DRAINING;
    }

    /**
     * Sets whether so many descriptors are open that each client connection is closed with its next
     * response.
     */
    public void setKeepAliveSuspended(boolean suspended) {
        keepAliveSuspended = suspended;
    }
}
