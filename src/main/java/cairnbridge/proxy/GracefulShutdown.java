package cairnbridge.proxy;

import static java.util.concurrent.TimeUnit.NANOSECONDS;

import cairnbridge.decision.TimeBudget;
import cairnbridge.time.Ticks;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The drain phase of a planned shutdown: hands over to a ready successor at once, or else continues
 * to serve as long as a new request can still be answered in time; then finishes the requests in
 * flight and closes the client connections. It runs once, on the calling thread, in bounded time.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    /** How long connections are still accepted after the proxy has stopped being ready. */
    private static final long CLOSE_GRACE_MILLIS = 200;

    /** The least time for which a shutdown answers requests, even if it begins very late. */
    private static final long MIN_DRAIN_MILLIS = 200;

    private static final long DRAIN_POLL_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyComponents components;
    private final CriticalThreads criticalThreads;
    private final ListenerState listenerState;
    private final ConnectionReactor reactor;
    private final RequestCoordinator coordinator;

    /** Creates the drain phase without starting it; see {@link #drain}. */
    GracefulShutdown(ProxyComponents components) {
        this.components = components;
        criticalThreads = components.criticalThreads();
        listenerState = components.listenerState();
        reactor = components.reactor();
        coordinator = components.coordinator();
    }

    /**
     * Drains the proxy; returns once all requests are answered and all client connections closed,
     * or when the time is up. Returns early, with the thread's interrupt flag set, if the thread is
     * interrupted.
     */
    void drain() {
        LOG.log(
                Level.INFO,
                "{0} drains, {1} requests in flight",
                new Object[] {
                    components.config().name(), Integer.toString(coordinator.activeRequestCount())
                });
        long longestTtlMillis = longestTtlMillis();
        // Guards against a configured TTL that is longer than the time for which the platform waits
        // before it kills the process.
        long servingMillis = TimeBudget.shutdownServingMillis(longestTtlMillis);
        long totalMillis = TimeBudget.shutdownEndMillis(longestTtlMillis);
        // Guards against a shutdown that the platform kills: the time until then counts from the
        // signal, which may have been sent before the stall that has delayed this shutdown.
        long delayMillis = Math.min(stalledMillisSinceSignal(), totalMillis - MIN_DRAIN_MILLIS);
        long signalNanos = System.nanoTime() - delayMillis * NANOS_PER_MILLI;
        long servingEndNanos = signalNanos + servingMillis * NANOS_PER_MILLI;
        long deadlineNanos = signalNanos + totalMillis * NANOS_PER_MILLI;
        announceDeadline(TimeBudget.shutdownAnsweringMillis(longestTtlMillis) - delayMillis);
        try {
            if (components.siblings().hasReadySuccessor()) {
                drainToSuccessor(servingEndNanos);
            } else {
                serveThenClose(servingEndNanos);
            }
            awaitPendingRequests(deadlineNanos);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private long longestTtlMillis() {
        long longestTtlTicks =
                components.config().settings().categories().stream()
                        .mapToLong(category -> category.ttl())
                        .max()
                        .orElse(0);
        return Ticks.toMillis(longestTtlTicks);
    }

    /** For how long this process may have been stalled since the signal to shut down was sent. */
    private long stalledMillisSinceSignal() {
        long stalledTicks =
                coordinator.stallHistory().stalledTicksSinceSignal(components.clock().now());
        long stalledMillis = Ticks.toMillis(stalledTicks);
        if (stalledMillis > 0) {
            LOG.log(
                    Level.INFO,
                    "{0} was stalled for {1} ms before its shutdown",
                    new Object[] {components.config().name(), Long.toString(stalledMillis)});
        }
        return stalledMillis;
    }

    /** Limits the deadlines of all requests, also of those in flight. */
    private void announceDeadline(long millisFromNow) {
        long deadlineTicks = components.clock().now() + Ticks.fromMillis(millisFromNow);
        listenerState.setShutdownDeadline(deadlineTicks);
        components.eventQueue().post(new ProxyEvent.ShutdownRequested(deadlineTicks));
    }

    /**
     * Serves as before until the given time, then closes each connection with its next response and
     * stops listening. Guards against a gap in service while the proxy restarted just before, in a
     * rolling restart, is not ready yet: clients with open connections are still served here, and
     * no request is kept beyond the shutdown deadline.
     */
    private void serveThenClose(long servingEndNanos) throws InterruptedException {
        sleepUntil(servingEndNanos);
        listenerState.startDraining();
        divertNewConnections();
        // Guards against a stall that shifts the end of the shutdown: the grace period counts from
        // the time at which it was due to begin.
        sleepUntil(servingEndNanos + CLOSE_GRACE_MILLIS * NANOS_PER_MILLI);
        criticalThreads.markStopping();
        reactor.stopListening();
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        NANOSECONDS.sleep(nanos - System.nanoTime());
    }

    /**
     * Stops listening at once and waits until the clients' connections are closed, or until the
     * deadline. Guards against requests that are sent on a connection which this process has
     * closed: each connection is closed with its next response.
     */
    private void drainToSuccessor(long deadlineNanos) throws InterruptedException {
        criticalThreads.markStopping();
        listenerState.startDraining();
        LOG.log(Level.INFO, "{0} hands over to its successor", components.config().name());
        divertNewConnections();
        reactor.stopListening();
        while (reactor.clientConnectionCount() > 0 && System.nanoTime() < deadlineNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private void divertNewConnections() throws InterruptedException {
        if (components.siblings().hasSiblings()) {
            reactor.divertNewConnections();
        }
    }

    /**
     * Closes idle connections until no request and no connection is left, or until the deadline.
     * Guards against a truncated response: a connection is closed only once the last byte of its
     * response is written.
     */
    private void awaitPendingRequests(long deadlineNanos) throws InterruptedException {
        do {
            reactor.closeIdleClients();
            Thread.sleep(DRAIN_POLL_MILLIS);
        } while (hasPendingWork() && System.nanoTime() < deadlineNanos);
    }

    private boolean hasPendingWork() {
        return coordinator.activeRequestCount() > 0 || reactor.clientConnectionCount() > 0;
    }
}
