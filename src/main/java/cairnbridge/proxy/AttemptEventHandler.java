package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.proxy.ProxyEvent.AttemptCompleted;
import cairnbridge.proxy.ProxyEvent.AttemptEvent;
import cairnbridge.proxy.ProxyEvent.PooledConnectionFailed;
import cairnbridge.proxy.ProxyEvent.RequestBodyClaimed;
import cairnbridge.proxy.ProxyEvent.ResponseStreamStarted;

/**
 * Handles the events of attempts: their ends and the start of streaming. Used only by the
 * coordinator thread.
 */
final class AttemptEventHandler {
    private final UpstreamPool upstreamPool;
    private final ActiveRequests activeRequests;
    private final AttemptSender attemptSender;
    private final RequestCompletion completion;
    private final ResponseStreaming streaming;
    private final CoordinatorListeners listeners;
    private final Invariants invariants;
    private final RouterNotifier router;
    private final TickClock clock;

    AttemptEventHandler(
            CoordinatorContext context,
            UpstreamPool upstreamPool,
            AttemptSender attemptSender,
            RequestCompletion completion,
            ResponseStreaming streaming) {
        this.upstreamPool = upstreamPool;
        this.activeRequests = context.activeRequests();
        this.attemptSender = attemptSender;
        this.completion = completion;
        this.streaming = streaming;
        this.listeners = context.listeners();
        this.invariants = context.invariants();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Calls the method that handles this kind of attempt event. */
    void handle(AttemptEvent event) {
        if (event instanceof AttemptCompleted completed) {
            handleAttemptCompleted(completed);
        } else if (event instanceof PooledConnectionFailed failed) {
            attemptSender.retryOnAnotherConnection(failed.attempt());
        } else if (event instanceof ResponseStreamStarted started) {
            streaming.begin(started.attempt(), started.responsePipe());
        } else if (event instanceof RequestBodyClaimed claimed) {
            handleRequestBodyClaimed(claimed.attempt());
        }
    }

    private void handleAttemptCompleted(AttemptCompleted event) {
        UpstreamAttempt attempt = event.attempt();
        ClientExchange exchange = attempt.exchange;
        ActiveRequest request = activeRequests.find(exchange.requestId);
        upstreamPool.release(attempt, isResponseComplete(event.outcome()), clock.now());
        if (!invariants.check(
                request != null && request.hasOpenAttempts(),
                "an attempt ends once, while its request is active")) {
            return;
        }
        request.attemptEnded(attempt, event.outcome());
        completion.forgetIfNotExecuted(request);
        // Guards against a retry for a client that has disconnected while the ClientDisconnected
        // event is still in the queue.
        if (exchange.hasClientDisconnected()) {
            completion.dropDisconnected(exchange);
        }
        notifyListeners(request, event);
        if (isAnswer(request, event)) {
            if (!request.isStreaming()) {
                exchange.answerSuccess(event.body());
            }
            completion.markAnswered(request);
        }
        notifyAttemptEnded(request, event);
        activeRequests.removeIfComplete(request);
    }

    /** Whether the response was read completely, so that its connection can be reused. */
    private static boolean isResponseComplete(AttemptOutcome outcome) {
        return outcome == AttemptOutcome.SUCCESS
                || outcome == AttemptOutcome.CACHE_MISS
                || outcome == AttemptOutcome.OVERLOADED
                || outcome == AttemptOutcome.ERROR;
    }

    private static boolean isAnswer(ActiveRequest request, AttemptCompleted event) {
        return event.outcome() == AttemptOutcome.SUCCESS
                && !request.isAnswered()
                && (!request.isStreaming() || request.isStreamedFrom(event.attempt()));
    }

    private void notifyListeners(ActiveRequest request, AttemptCompleted event) {
        UpstreamAttempt attempt = event.attempt();
        long durationTicks = attempt.durationTicks(event.endedAtTicks());
        long now = clock.now();
        listeners
                .load()
                .attemptEnded(
                        attempt.node,
                        attempt.exchange.category.value(),
                        event.outcome(),
                        durationTicks,
                        request.deadlineTicks() - now,
                        now);
        listeners.recovery().attemptEnded(attempt, event.outcome(), durationTicks, clock.now());
    }

    private void notifyAttemptEnded(ActiveRequest request, AttemptCompleted event) {
        UpstreamAttempt attempt = event.attempt();
        router.notifyRouter(
                clock.now(),
                new Event.AttemptEnded(
                        request.id(),
                        attempt.attemptNumber,
                        attempt.node,
                        event.outcome(),
                        event.cacheStatus(),
                        attempt.durationTicks(event.endedAtTicks()),
                        request.isAnswered(),
                        null));
    }

    private void handleRequestBodyClaimed(UpstreamAttempt attempt) {
        ClientExchange exchange = attempt.exchange;
        RequestId requestId = exchange.requestId;
        if (activeRequests.find(requestId) == null) {
            return;
        }
        long now = clock.now();
        router.notifyRouter(
                now, new Event.RequestBodyStreamingStarted(requestId, attempt.attemptNumber));
        if (exchange.isRequestComplete()) {
            router.notifyRouter(now, new Event.RequestBodyReceived(requestId));
        }
    }
}
