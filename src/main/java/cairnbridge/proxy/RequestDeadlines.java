package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.time.Ticks;

/** The deadlines of requests and the timeouts of attempts. For the owner thread. */
final class RequestDeadlines {
    /** A request with a streamed body is ended this long before its deadline. */
    private static final long DEADLINE_MARGIN_TICKS = 20 * Ticks.MILLISECOND;

    private final ActiveRequests activeRequests;
    private final TimerQueue timers;
    private final AttemptSender attemptSender;
    private final RequestCompletion completion;
    private final Invariants invariants;
    private final RouterNotifier router;
    private final TickClock clock;

    RequestDeadlines(
            CoordinatorContext context, AttemptSender attemptSender, RequestCompletion completion) {
        this.activeRequests = context.activeRequests();
        this.timers = context.timers();
        this.attemptSender = attemptSender;
        this.completion = completion;
        this.invariants = context.invariants();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** An attempt has timed out; one whose response is streamed goes on. */
    void attemptTimedOut(UpstreamAttempt attempt) {
        ActiveRequest request = activeRequests.find(attempt.exchange.requestId);
        if (request == null || !request.isStreamedFrom(attempt)) {
            attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    /**
     * The deadline of a request has come. Guards against a defect in the router that leaves a
     * request without an answer.
     */
    void deadlineReached(RequestId id) {
        ActiveRequest request = activeRequests.find(id);
        if (request != null && (request.isStreaming() || request.hasStreamedBody())) {
            endStreamedRequest(request);
        } else if (!invariants.check(
                request == null || request.isAnswered(),
                "a request is answered before its deadline")) {
            completion.failUnanswered(request);
        }
    }

    /**
     * A streamed response has its own limits; a request whose body was streamed has until its
     * deadline to be answered.
     */
    private void endStreamedRequest(ActiveRequest request) {
        if (request.isStreaming()) {
            return;
        }
        boolean hasOpenAttempt = false;
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt.isOpen()) {
                hasOpenAttempt = true;
                attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
        if (!hasOpenAttempt && !request.isAnswered()) {
            completion.failUnanswered(request);
        }
    }

    /** The deadline of a request with a streamed body counts from the body's last byte. */
    void requestBodyCompleted(ClientExchange exchange, long deadlineTicks) {
        ActiveRequest request = activeRequests.find(exchange);
        if (request != null) {
            request.setDeadline(deadlineTicks);
            timers.scheduleRequestDeadline(deadlineTicks - DEADLINE_MARGIN_TICKS, request.id());
        }
    }

    /** The process is to end: every request is answered by this time. */
    void scheduleShutdown(long deadlineTicks) {
        for (ActiveRequest request : activeRequests.all()) {
            if (request.deadlineTicks() > deadlineTicks) {
                request.setDeadline(deadlineTicks);
                timers.scheduleRequestDeadline(deadlineTicks, request.id());
            }
        }
        router.notifyRouter(clock.now(), new Event.ShutdownScheduled(deadlineTicks));
    }
}
