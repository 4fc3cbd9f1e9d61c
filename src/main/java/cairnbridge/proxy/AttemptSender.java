package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.util.Queue;

/** Starts the attempts of requests, and abandons attempts. Used only by the coordinator thread. */
final class AttemptSender {
    private final UpstreamPool upstreamPool;
    private final TimerQueue timers;
    private final EventQueue attemptListener;
    private final Queue<ProxyEvent> deferredEvents;
    private final TickClock clock;
    private final ProxyMetrics metrics;

    /**
     * Creates a sender that takes its connections from a pool.
     *
     * @param attemptListener receives the events of the attempts
     * @param deferredEvents receives the completion events of abandoned attempts
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
     * @param timeoutTicks the timeout of the attempt; 0 if only the request's deadline applies
     * @param latestStartTicks the attempt fails as not sent unless its last byte is written before
     *     this time
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

    /**
     * Guards against a new connection for an attempt that was abandoned after its pooled connection
     * had failed: the attempt is sent again only if it is still waiting.
     */
    void retryOnAnotherConnection(UpstreamAttempt attempt) {
        attempt.connection.close();
        if (attempt.isWaiting()) {
            sendAttempt(attempt);
        }
    }

    /**
     * Abandons the unsent attempts of a request. Guards against an attempt that is sent after the
     * request was answered, because its connection is established only then.
     */
    void abandonUnsentAttempts(ActiveRequest request) {
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt.isUnsent()) {
                abandonAttempt(attempt, AttemptOutcome.NOT_SENT);
            }
        }
    }

    /**
     * Abandons the unsent attempts to nodes that accept no new requests. Guards against an attempt
     * that reaches a node after it was drained or put into maintenance, because its connection is
     * established, or its bytes are written, only then.
     */
    void abandonUnsendableAttempts(Iterable<ActiveRequest> requests) {
        for (ActiveRequest request : requests) {
            for (UpstreamAttempt attempt : request.attempts()) {
                if (attempt.isUnsent() && !upstreamPool.isAvailable(attempt.node)) {
                    withdraw(attempt);
                }
            }
        }
    }

    /** Rejects an attempt unless its first byte has been written. */
    private void withdraw(UpstreamAttempt attempt) {
        attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
        if (attempt.isUnsent()) {
            rejectAttempt(attempt, AttemptRejection.NODE_CLOSED);
        }
    }

    /** Cancels all attempts of a request except one. */
    void cancelOtherAttempts(ActiveRequest request, UpstreamAttempt remaining) {
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt != remaining) {
                abandonAttempt(attempt, AttemptOutcome.CANCELLED);
            }
        }
    }

    /**
     * Abandons an attempt unless it has ended, and closes its connection. Its completion is a
     * deferred event, because this method may be called by the router, which must not be called
     * back before that call returns.
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
