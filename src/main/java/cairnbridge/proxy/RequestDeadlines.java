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
     * platform counts a response on a socket as lost 550 ms after its deadline, and a process may
     * be held up for 150 ms before it breaks one off.
     */
    private static final long MAX_LATE_RESPONSE_TICKS = 400 * Ticks.MILLISECOND;

    /** The interval between checks whether a late response still arrives fast enough. */
    private static final long PROGRESS_CHECK_TICKS = 50 * Ticks.MILLISECOND;

    /** How much earlier than the router's answer a response that has paused is begun. */
    private static final long HELD_RESPONSE_MARGIN_TICKS = 20 * Ticks.MILLISECOND;

    /**
     * For how long the beginning of a response of unknown length is held back at most. The platform
     * counts a long response as lost whose rest is held back for two seconds.
     */
    private static final long MAX_HELD_TICKS = Ticks.SECOND;

    /** The interval between checks of a request that has been unanswered for long. */
    private static final long HELD_CHECK_TICKS = 100 * Ticks.MILLISECOND;

    /** The interval between checks of the deadline of a request whose body is being received. */
    private static final long BODY_CHECK_TICKS = 100 * Ticks.MILLISECOND;

    private static final Logger LOG = Logger.getLogger(RequestDeadlines.class.getName());

    private final ActiveRequests activeRequests;
    private final TimerQueue timers;
    private final AttemptSender attemptSender;
    private final RequestCompletion completion;
    private final ResponseStreaming streaming;
    private final long heldResponseMarginTicks;
    private final Invariants invariants;
    private final RouterNotifier router;
    private final TickClock clock;

    /**
     * Creates an instance that schedules its checks on the context's timers.
     *
     * @param answerMarginTicks how long before its deadline the router answers a request
     */
    RequestDeadlines(
            CoordinatorContext context,
            AttemptSender attemptSender,
            RequestCompletion completion,
            ResponseStreaming streaming,
            long answerMarginTicks) {
        this.activeRequests = context.activeRequests();
        this.timers = context.timers();
        this.attemptSender = attemptSender;
        this.completion = completion;
        this.streaming = streaming;
        this.heldResponseMarginTicks = answerMarginTicks + HELD_RESPONSE_MARGIN_TICKS;
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

    /** Schedules the checks of a request whose deadline is new. */
    void schedule(ActiveRequest request) {
        long now = clock.now();
        if (request.hasStreamedBody()) {
            long dueTicks = request.deadlineTicks() - DEADLINE_MARGIN_TICKS;
            timers.scheduleRequestDeadline(
                    Math.min(dueTicks, now + BODY_CHECK_TICKS), request.id());
            return;
        }
        long dueTicks = Math.min(latestBeginTicks(request, now), now + MAX_HELD_TICKS);
        timers.scheduleRequestDeadline(dueTicks, request.id());
    }

    /**
     * The time by which a response that is held back must be begun at its client: before the router
     * answers the request. Half of the time is left to retries where little is left in all.
     */
    private long latestBeginTicks(ActiveRequest request, long now) {
        long latestTicks = request.deadlineTicks() - heldResponseMarginTicks;
        return Math.max(latestTicks, now + (request.deadlineTicks() - now) / 2);
    }

    /**
     * Handles the deadline of a request. Guards against a defect in the router that leaves a
     * request without an answer.
     */
    void deadlineReached(RequestId id) {
        ActiveRequest request = activeRequests.find(id);
        if (request != null && request.isStreaming()) {
            reviewStreamedResponse(request);
        } else if (request != null && request.hasStreamedBody()) {
            reviewStreamedRequest(request);
        } else if (request != null
                && !request.isAnswered()
                && clock.now() < request.deadlineTicks()) {
            reviewHeldResponse(request);
        } else if (!invariants.check(
                request == null || request.isAnswered(),
                "a request is answered before its deadline")) {
            completion.failUnanswered(request);
        }
    }

    /**
     * Begins a response of unknown length that its server has begun and not completed, once it has
     * been held back for too long or the deadline is near. Guards against refusing a long response
     * because its server pauses.
     */
    private void reviewHeldResponse(ActiveRequest request) {
        long now = clock.now();
        if (mustBeginHeld(request, now)) {
            streaming.beginHeld(request);
            timers.scheduleRequestDeadline(request.deadlineTicks(), request.id());
        } else {
            long dueTicks = Math.min(latestBeginTicks(request, now), now + HELD_CHECK_TICKS);
            timers.scheduleRequestDeadline(dueTicks, request.id());
        }
    }

    private boolean mustBeginHeld(ActiveRequest request, long now) {
        return now >= request.deadlineTicks() - heldResponseMarginTicks
                || earliestHeldTicks(request) <= now - MAX_HELD_TICKS + HELD_CHECK_TICKS;
    }

    /** Since when the first bytes of a response are held back; a time that never comes if none. */
    private static long earliestHeldTicks(ActiveRequest request) {
        return request.attempts().stream()
                .filter(UpstreamAttempt::isResponseHeld)
                .mapToLong(attempt -> attempt.responseProgress().firstBytesAtTicks())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    private void reviewStreamedResponse(ActiveRequest request) {
        if (clock.now() < request.deadlineTicks()) {
            timers.scheduleRequestDeadline(request.deadlineTicks(), request.id());
        } else {
            limitStreamedResponse(request);
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
        long now = clock.now();
        boolean isReceiving = !request.isAnswered() && !request.exchange().isRequestComplete();
        if (isReceiving && request.isUploadTooSlow(now)) {
            endSlowUpload(request, now);
            return;
        }
        changeDeadline(request, request.exchange().presentDeadlineTicks());
        long dueTicks = request.deadlineTicks() - DEADLINE_MARGIN_TICKS;
        if (mustBeginHeld(request, now)) {
            streaming.beginHeld(request);
        }
        if (request.isStreaming()) {
            timers.scheduleRequestDeadline(request.deadlineTicks(), request.id());
        } else if (now >= dueTicks) {
            endStreamedRequest(request);
        } else {
            long checkTicks = Math.min(latestBeginTicks(request, now), now + BODY_CHECK_TICKS);
            timers.scheduleRequestDeadline(Math.min(dueTicks, checkTicks), request.id());
        }
    }

    /**
     * Ends a request whose server takes its body too slowly. Guards against a client that waits for
     * ever to send the rest: the deadline of its request moves on as long as it is not sent. The
     * router answers, as the deadline has come.
     */
    private void endSlowUpload(ActiveRequest request, long now) {
        LOG.log(
                Level.INFO,
                "request {0} ended, its body is not taken, {1} bytes received",
                new Object[] {
                    request.exchange().traceId, Long.toString(request.exchange().receivedBytes())
                });
        changeDeadline(request, now);
        abandonOpenAttempts(request);
        timers.scheduleRequestDeadline(now + BODY_CHECK_TICKS, request.id());
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
        if (!abandonOpenAttempts(request) && !request.isAnswered()) {
            completion.failUnanswered(request);
        }
    }

    /** Returns whether there was an open attempt, with whose end the router answers. */
    private boolean abandonOpenAttempts(ActiveRequest request) {
        boolean hasOpenAttempt = false;
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt.isOpen()) {
                hasOpenAttempt = true;
                attemptSender.abandonAttempt(attempt, AttemptOutcome.TIMED_OUT);
            }
        }
        return hasOpenAttempt;
    }

    /** Sets the deadline of a request whose streamed body has been received completely. */
    void requestBodyCompleted(ClientExchange exchange, long deadlineTicks) {
        ActiveRequest request = activeRequests.find(exchange);
        if (request != null) {
            changeDeadline(request, deadlineTicks);
            schedule(request);
            router.notifyRouter(clock.now(), new Event.RequestBodyReceived(request.id()));
        }
    }

    /** Limits the deadlines of all requests to this time, because the process shuts down. */
    void scheduleShutdown(long deadlineTicks) {
        for (ActiveRequest request : activeRequests.all()) {
            if (request.deadlineTicks() > deadlineTicks) {
                request.setDeadline(deadlineTicks);
                schedule(request);
            }
        }
        router.notifyRouter(clock.now(), new Event.ShutdownScheduled(deadlineTicks));
    }
}
