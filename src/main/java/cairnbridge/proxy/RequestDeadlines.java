package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.time.Ticks;

/**
 * Handles the deadlines of requests and the timeouts of attempts. Used only by the coordinator
 * thread.
 */
final class RequestDeadlines {
    /** A request with a streamed body is ended this much before its deadline. */
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

    /**
     * Abandons an attempt that has timed out, unless its request is complete or its response is
     * being streamed.
     */
    void attemptTimedOut(RequestId id, int attemptNumber) {
        ActiveRequest request = activeRequests.find(id);
        if (request == null) {
            return;
        }
        UpstreamAttempt attempt = request.attempts().get(attemptNumber);
        if (!request.isStreamedFrom(attempt)) {
            attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    /**
     * Handles the deadline of a request. Guards against a defect in the router that leaves a
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
     * Ends a request whose body was streamed and that has no response yet. A response that is being
     * streamed may take longer than the deadline: {@link BodyPipe} limits how long it may stall.
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

    /** Sets the deadline of a request whose streamed body has been received completely. */
    void requestBodyCompleted(ClientExchange exchange, long deadlineTicks) {
        ActiveRequest request = activeRequests.find(exchange);
        if (request != null) {
            request.setDeadline(deadlineTicks);
            timers.scheduleRequestDeadline(deadlineTicks - DEADLINE_MARGIN_TICKS, request.id());
        }
    }

    /** Limits the deadlines of all requests to this time, because the process shuts down. */
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
