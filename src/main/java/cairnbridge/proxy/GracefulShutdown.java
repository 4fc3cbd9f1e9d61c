package cairnbridge.proxy;

import cairnbridge.decision.TimeBudget;
import cairnbridge.time.Ticks;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The planned end of a proxy, up to the point where it has no clients left: it serves on as long as
 * a request can still be answered, finishes what it has, and closes the connections of its clients.
 * It runs once, on the thread that asks for it, and takes a bounded time.
 */
final class GracefulShutdown {
    private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

    /** From the last request in time until no more connections are accepted. */
    private static final long CLOSE_GRACE_MILLIS = 200;

    private static final long DRAIN_POLL_MILLIS = 10;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final ProxyComponents components;
    private final CriticalThreads criticalThreads;
    private final ListenerState listenerState;
    private final ConnectionReactor reactor;
    private final RequestCoordinator coordinator;

    /** Changes nothing yet. */
    GracefulShutdown(ProxyComponents components) {
        this.components = components;
        criticalThreads = components.criticalThreads();
        listenerState = components.listenerState();
        reactor = components.reactor();
        coordinator = components.coordinator();
    }

    /**
     * Returns once all clients have had their answers, or when time is up. It returns early, with
     * the thread's interrupt flag set, if the thread is interrupted.
     */
    void drain() {
        LOG.log(
                Level.INFO,
                "{0} drains, {1} requests in flight",
                new Object[] {
                    components.config().name(), Integer.toString(coordinator.activeRequestCount())
                });
        long longestTtlMillis = longestTtlMillis();
        // Guards against a TTL of the settings that is longer than the platform waits before it
        // kills.
        long servingMillis = TimeBudget.shutdownServingMillis(longestTtlMillis);
        long endingMillis = TimeBudget.shutdownEndMillis(longestTtlMillis);
        long endNanos = System.nanoTime() + endingMillis * NANOS_PER_MILLI;
        announceDeadline(TimeBudget.shutdownAnsweringMillis(longestTtlMillis));
        try {
            if (components.siblings().hasReadySuccessor()) {
                drainToSuccessor(endNanos - (endingMillis - servingMillis) * NANOS_PER_MILLI);
            } else {
                serveThenClose(servingMillis);
            }
            awaitLastAnswers(endNanos);
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

    /** No request is kept longer than this from now on. */
    private void announceDeadline(long millisFromNow) {
        long deadlineTicks = components.clock().now() + Ticks.fromMillis(millisFromNow);
        listenerState.setShutdownDeadline(deadlineTicks);
        components.eventQueue().post(new ProxyEvent.ShutdownRequested(deadlineTicks));
    }

    /**
     * Guards against a gap while the proxy that was restarted before is not ready yet: clients
     * whose connections stay open are served here meanwhile, no request being kept beyond the end.
     */
    private void serveThenClose(long servingMillis) throws InterruptedException {
        Thread.sleep(servingMillis);
        listenerState.startDraining();
        divertNewConnections();
        Thread.sleep(CLOSE_GRACE_MILLIS);
        criticalThreads.allowEnds();
        reactor.stopListening();
    }

    /**
     * Guards against requests that meet a closed connection: each connection is closed with its
     * next answer.
     */
    private void drainToSuccessor(long untilNanos) throws InterruptedException {
        criticalThreads.allowEnds();
        listenerState.startDraining();
        LOG.log(Level.INFO, "{0} hands over to its successor", components.config().name());
        divertNewConnections();
        reactor.stopListening();
        while (reactor.clientConnectionCount() > 0 && System.nanoTime() < untilNanos) {
            Thread.sleep(DRAIN_POLL_MILLIS);
        }
    }

    private void divertNewConnections() throws InterruptedException {
        if (components.siblings().hasSiblings()) {
            reactor.divertNewConnections();
        }
    }

    /**
     * Guards against an answer cut short: its connection is closed once its last byte is written.
     */
    private void awaitLastAnswers(long untilNanos) throws InterruptedException {
        do {
            reactor.closeIdleClients();
            Thread.sleep(DRAIN_POLL_MILLIS);
        } while (hasOpenWork() && System.nanoTime() < untilNanos);
    }

    private boolean hasOpenWork() {
        return coordinator.activeRequestCount() > 0 || reactor.clientConnectionCount() > 0;
    }
}
