package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;

/**
 * Begins to stream responses to their clients: those that are too long to be buffered, and those of
 * unknown length that must not be held back any longer. Used only by the coordinator thread.
 */
final class ResponseStreaming {
    private final ActiveRequests activeRequests;
    private final AttemptSender attemptSender;
    private final RequestCompletion completion;
    private final RouterNotifier router;
    private final TickClock clock;

    ResponseStreaming(
            CoordinatorContext context, AttemptSender attemptSender, RequestCompletion completion) {
        this.activeRequests = context.activeRequests();
        this.attemptSender = attemptSender;
        this.completion = completion;
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Streams the response of an attempt to the client, unless the client needs it no more. */
    void begin(UpstreamAttempt attempt, BodyPipe responsePipe) {
        ClientExchange exchange = attempt.exchange;
        ActiveRequest request = activeRequests.find(exchange.requestId);
        // Guards against streaming the response of an attempt that was abandoned while this event
        // was queued: its connection is closed, and the client would get a truncated response.
        if (request == null
                || request.isAnswered()
                || request.isStreaming()
                || attempt.isAbandoned()) {
            responsePipe.discard();
            attemptSender.abandonAttempt(attempt, AttemptOutcome.CANCELLED);
            return;
        }
        request.streamFrom(attempt);
        exchange.streamAnswer(responsePipe);
        // Guards against a node that keeps sending a response, and occupies a connection with it,
        // after the client has disconnected.
        if (exchange.hasClientDisconnected()) {
            completion.dropDisconnected(exchange);
            return;
        }
        long now = clock.now();
        router.notifyRouter(
                now,
                new Event.StreamingStarted(
                        attempt.exchange.requestId,
                        attempt.attemptNumber,
                        attempt.node,
                        attempt.durationTicks(now)));
        attemptSender.cancelOtherAttempts(request, attempt);
    }

    /** Streams the held response of which most has arrived; does nothing if there is none. */
    void beginHeld(ActiveRequest request) {
        UpstreamAttempt longest = request.isAnswered() ? null : longestHeld(request);
        if (longest == null) {
            return;
        }
        BodyPipe responsePipe = longest.streamHeldResponse();
        if (responsePipe != null) {
            RequestTrace.heldResponseBegun(request.exchange().traceId, longest.node);
            begin(longest, responsePipe);
        }
    }

    private static UpstreamAttempt longestHeld(ActiveRequest request) {
        UpstreamAttempt longest = null;
        for (UpstreamAttempt attempt : request.attempts()) {
            if (attempt.isResponseHeld()
                    && (longest == null || receivedBytes(attempt) > receivedBytes(longest))) {
                longest = attempt;
            }
        }
        return longest;
    }

    private static long receivedBytes(UpstreamAttempt attempt) {
        return attempt.responseProgress().receivedBytes();
    }
}
