package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.RequestId;
import java.util.ArrayList;
import java.util.List;

/**
 * A client request from its arrival until it is answered and all its attempts have ended. Used only
 * by the coordinator thread.
 */
final class ActiveRequest {
    private final ClientExchange exchange;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);

    /** The attempts whose outcomes prove that their servers have not executed the request. */
    private final List<UpstreamAttempt> notExecuted = new ArrayList<>(0);

    private long deadlineTicks;

    /** The attempt whose response is streamed to the client; null if there is none. */
    private UpstreamAttempt streamingAttempt;

    /** How fast the streamed body is taken; null until it is first asked for. */
    private UploadProgress uploadProgress;

    private boolean answered;

    /** Whether the client has left and the trace id is remembered. */
    private boolean abandoned;

    private int openAttempts;

    /** Creates a request without attempts that must be answered by this deadline. */
    ActiveRequest(ClientExchange exchange, long deadlineTicks) {
        this.exchange = exchange;
        this.deadlineTicks = deadlineTicks;
    }

    /** The exchange with the client. */
    ClientExchange exchange() {
        return exchange;
    }

    /** The id that identifies the request in the router's events and calls. */
    RequestId id() {
        return exchange.requestId;
    }

    /** The time by which the request must be answered, in ticks of the clock. */
    long deadlineTicks() {
        return deadlineTicks;
    }

    /** Sets a new deadline, when a streamed body is complete or the proxy shuts down. */
    void setDeadline(long ticks) {
        deadlineTicks = ticks;
    }

    /** All attempts so far, indexed by attempt number. Callers must not modify the list. */
    List<UpstreamAttempt> attempts() {
        return attempts;
    }

    /** Adds an attempt, which counts as open until {@link #attemptEnded} is called for it. */
    void attemptStarted(UpstreamAttempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    /** Records that one of the open attempts has ended. */
    void attemptEnded(UpstreamAttempt attempt, AttemptOutcome outcome) {
        openAttempts--;
        if (outcome.provesNotExecuted) {
            notExecuted.add(attempt);
        }
    }

    /** Whether at least one attempt is still open. */
    boolean hasOpenAttempts() {
        return openAttempts > 0;
    }

    /**
     * Whether a server may have received the last byte of the request, and its answer does not
     * prove that it has not executed it.
     */
    boolean mayHaveRun() {
        return attempts.stream()
                .anyMatch(attempt -> attempt.mayHaveRun() && !notExecuted.contains(attempt));
    }

    /** Records that the response of this attempt is being streamed to the client. */
    void streamFrom(UpstreamAttempt attempt) {
        streamingAttempt = attempt;
    }

    /** The attempt whose response is streamed to the client; null if there is none. */
    UpstreamAttempt streamingAttempt() {
        return streamingAttempt;
    }

    /** Whether the response of any attempt is streamed to the client. */
    boolean isStreaming() {
        return streamingAttempt != null;
    }

    /** Whether the response of this attempt is streamed to the client. */
    boolean isStreamedFrom(UpstreamAttempt attempt) {
        return streamingAttempt == attempt;
    }

    /** Whether the request body is streamed to the node instead of being buffered first. */
    boolean hasStreamedBody() {
        return exchange.requestPipe != null;
    }

    /** Whether a streamed body is taken too slowly; see {@link UploadProgress#isTooSlow}. */
    boolean isUploadTooSlow(long now) {
        if (uploadProgress == null) {
            uploadProgress = new UploadProgress(exchange.request().ttlTicks(), now);
        }
        return uploadProgress.isTooSlow(
                now, exchange.receivedBytes(), exchange.hasBodyWaitedSinceLastCall());
    }

    /** Records that the client has been answered, or has disconnected. */
    void markAnswered() {
        answered = true;
    }

    /** Whether the client has been answered, or has disconnected. */
    boolean isAnswered() {
        return answered;
    }

    /** Records whether the trace id is remembered because the client has left. */
    void setAbandoned(boolean isAbandoned) {
        abandoned = isAbandoned;
    }

    /** Whether the trace id is remembered because the client has left. */
    boolean isAbandoned() {
        return abandoned;
    }

    /** Whether the request is answered and all its attempts have ended. */
    boolean isComplete() {
        return answered && openAttempts == 0;
    }
}
