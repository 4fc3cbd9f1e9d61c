package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.util.Queue;

/** Sends the attempts of requests, and abandons those that must not go on. For the owner thread. */
final class AttemptSender {
    private final UpstreamPool upstreamPool;
    private final TimerQueue timers;
    private final EventQueue attemptListener;
    private final Queue<ProxyEvent> deferredEvents;
    private final TickClock clock;
    private final ProxyMetrics metrics;

    /**
     * A sender over a pool.
     *
     * @param deferredEvents receives the ends of abandoned attempts
     */
    AttemptSender(
            CoordinatorContext context,
            UpstreamPool upstreamPool,
            EventQueue attemptListener,
            Queue<ProxyEvent> deferredEvents,
            ProxyMetrics metrics) {
        this.upstreamPool = upstreamPool;
        this.timers = context.timers();
        this.attemptListener = attemptListener;
        this.deferredEvents = deferredEvents;
        this.clock = context.clock();
        this.metrics = metrics;
    }

    /**
     * Starts an attempt of a request.
     *
     * @param timeoutTicks how long it may take; 0 for as long as its request
     * @param latestStartTicks its last byte leaves before this time or not at all
     */
    void startAttempt(
            ActiveRequest request, NodeId node, long timeoutTicks, long latestStartTicks) {
        long now = clock.now();
        UpstreamAttempt attempt =
                new UpstreamAttempt(
                        request.exchange(),
                        node,
                        request.attempts().size(),
                        request.deadlineTicks(),
                        latestStartTicks,
                        attemptListener,
                        clock,
                        metrics);
        request.attemptStarted(attempt);
        long dueTicks =
                timeoutTicks > 0
                        ? Math.min(request.deadlineTicks(), now + timeoutTicks)
                        : request.deadlineTicks();
        if (dueTicks <= now) {
            abandonAttempt(attempt, AttemptOutcome.NOT_SENT);
            return;
        }
        sendAttempt(attempt);
        if (attempt.isOpen()) {
            timers.scheduleAttemptTimeout(dueTicks, attempt);
        }
    }

    private void sendAttempt(UpstreamAttempt attempt) {
        AttemptRejection rejection = attempt.sendPermit.rejection(clock.now());
        if (rejection != null) {
            rejectAttempt(attempt, rejection);
        } else if (!upstreamPool.trySend(attempt)) {
            abandonAttempt(attempt, AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void rejectAttempt(UpstreamAttempt attempt, AttemptRejection rejection) {
        metrics.attemptRejected(rejection);
        abandonAttempt(attempt, AttemptOutcome.NOT_SENT);
    }

    /** Guards against a second connection to a server for an attempt that is already over. */
    void retryOnAnotherConnection(UpstreamAttempt attempt) {
        attempt.connection.close();
        if (attempt.isWaiting()) {
            sendAttempt(attempt);
        }
    }

    /**
     * Abandons the unsent attempts of a request. Guards against an attempt that is sent after the
     * answer, as its connection comes up.
     */
    void abandonUnsentAttempts(ActiveRequest request) {
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt.isWaiting()) {
                abandonAttempt(attempt, AttemptOutcome.NOT_SENT);
            }
        }
    }

    /**
     * Abandons the unsent attempts at nodes that take nothing new. Guards against an attempt that
     * reaches a node after the message that nothing may, as its connection comes up late.
     */
    void abandonUnsendableAttempts(Iterable<ActiveRequest> requests) {
        for (ActiveRequest request : requests) {
            for (UpstreamAttempt attempt : request.attempts()) {
                if (attempt.isWaiting() && !upstreamPool.isAvailable(attempt.node)) {
                    attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
                    rejectAttempt(attempt, AttemptRejection.NODE_CLOSED);
                }
            }
        }
    }

    /** Cancels all attempts of a request but one. */
    void cancelOtherAttempts(ActiveRequest request, UpstreamAttempt remaining) {
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt != remaining) {
                abandonAttempt(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    /**
     * Abandons an attempt unless it has ended, and closes its connection. Its end follows as an
     * event of the owner thread itself, as the router is never called within its own calls.
     */
    void abandonAttempt(UpstreamAttempt attempt, AttemptOutcome outcome) {
        AttemptOutcome actualOutcome = attempt.abandon(outcome);
        if (actualOutcome == null) {
            return;
        }
        if (attempt.connection != null) {
            attempt.connection.close();
        }
        deferredEvents.add(
                new ProxyEvent.AttemptCompleted(attempt, actualOutcome, 0, null, clock.now()));
    }
}
