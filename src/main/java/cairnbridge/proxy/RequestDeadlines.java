package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.time.Ticks;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Handles the deadlines of requests and the timeouts of attempts. Used only by the coordinator
 * thread.
 */
final class RequestDeadlines {
    /** A request with a streamed body is ended this much before its deadline. */
    private static final long DEADLINE_MARGIN_TICKS = 20 * Ticks.MILLISECOND;

    /**
     * The time after its deadline in which a response that was begun in time may be completed. The
     * platform counts a response as lost half a second after its deadline.
     */
    private static final long MAX_LATE_RESPONSE_TICKS = 300 * Ticks.MILLISECOND;

    /** The interval between checks whether a late response still arrives fast enough. */
    private static final long PROGRESS_CHECK_TICKS = 50 * Ticks.MILLISECOND;

    /** The interval between checks of the deadline of a request whose body is being received. */
    private static final long BODY_CHECK_TICKS = 100 * Ticks.MILLISECOND;

    private static final Logger LOG = Logger.getLogger(RequestDeadlines.class.getName());

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
        if (attempt.isOpen()
                && request.hasStreamedBody()
                && clock.now() < request.deadlineTicks()) {
            timers.scheduleAttemptTimeout(request.deadlineTicks(), attempt);
        } else if (!request.isStreamedFrom(attempt)) {
            attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    /** Schedules the deadline of a request that has just arrived. */
    void schedule(ActiveRequest request) {
        long dueTicks = request.deadlineTicks();
        if (request.hasStreamedBody()) {
            long checkTicks = clock.now() + BODY_CHECK_TICKS;
            dueTicks = Math.min(dueTicks - DEADLINE_MARGIN_TICKS, checkTicks);
        }
        timers.scheduleRequestDeadline(dueTicks, request.id());
    }

    /**
     * Handles the deadline of a request. Guards against a defect in the router that leaves a
     * request without an answer.
     */
    void deadlineReached(RequestId id) {
        ActiveRequest request = activeRequests.find(id);
        if (request != null && request.isStreaming()) {
            limitStreamedResponse(request);
        } else if (request != null && request.hasStreamedBody()) {
            reviewStreamedRequest(request);
        } else if (!invariants.check(
                request == null || request.isAnswered(),
                "a request is answered before its deadline")) {
            completion.failUnanswered(request);
        }
    }

    /**
     * Breaks off a streamed response that is not complete some time after the deadline, so that the
     * client learns in time that it will not get a whole one. Guards against a response of a few
     * bytes that is passed on for ever. A long response has no deadline for its end: {@link
     * BodyPipe} limits how long it may stall.
     */
    private void limitStreamedResponse(ActiveRequest request) {
        UpstreamAttempt attempt = request.streamingAttempt();
        ResponseProgress progress = attempt.responseProgress();
        if (!attempt.isOpen() || progress.isLong()) {
            return;
        }
        long now = clock.now();
        long latestEndTicks = request.deadlineTicks() + MAX_LATE_RESPONSE_TICKS;
        if (now < latestEndTicks) {
            timers.scheduleRequestDeadline(latestEndTicks, request.id());
        } else if (progress.mayBecomeLong(now)) {
            timers.scheduleRequestDeadline(now + PROGRESS_CHECK_TICKS, request.id());
        } else {
            LOG.log(
                    Level.INFO,
                    "response of request {0} broken off after its deadline, {1} bytes received",
                    new Object[] {
                        request.exchange().traceId, Long.toString(progress.receivedBytes())
                    });
            attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
        }
    }

    /**
     * Ends a request whose body is streamed at its deadline, which is put off while the client is
     * still sending the body. Guards against a deadline that allows for a slow client although the
     * rest of the body only waits to be read.
     */
    private void reviewStreamedRequest(ActiveRequest request) {
        changeDeadline(request, request.exchange().presentDeadlineTicks());
        long dueTicks = request.deadlineTicks() - DEADLINE_MARGIN_TICKS;
        long now = clock.now();
        if (now >= dueTicks) {
            endStreamedRequest(request);
        } else if (request.exchange().isRequestComplete()) {
            timers.scheduleRequestDeadline(dueTicks, request.id());
        } else {
            timers.scheduleRequestDeadline(
                    Math.min(dueTicks, now + BODY_CHECK_TICKS), request.id());
        }
    }

    private void changeDeadline(ActiveRequest request, long deadlineTicks) {
        if (deadlineTicks != request.deadlineTicks()) {
            request.setDeadline(deadlineTicks);
            router.notifyRouter(
                    clock.now(), new Event.RequestDeadlineChanged(request.id(), deadlineTicks));
        }
    }

    /** Ends a request whose body was streamed and that has no response yet. */
    private void endStreamedRequest(ActiveRequest request) {
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
            changeDeadline(request, deadlineTicks);
            timers.scheduleRequestDeadline(deadlineTicks - DEADLINE_MARGIN_TICKS, request.id());
            router.notifyRouter(clock.now(), new Event.RequestBodyReceived(request.id()));
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
