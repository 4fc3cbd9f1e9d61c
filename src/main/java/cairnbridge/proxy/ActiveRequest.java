package cairnbridge.proxy;

import cairnbridge.decision.Ids.RequestId;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival until it is answered and its last attempt has ended. For the owner
 * thread.
 */
final class ActiveRequest {
    private final ClientExchange exchange;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(2);
    private long deadlineTicks;

    /** Null as long as no response is streamed. */
    private UpstreamAttempt streamingAttempt;

    private boolean answered;
    private int openAttempts;

    /** A request that must be answered by this time. */
    ActiveRequest(ClientExchange exchange, long deadlineTicks) {
        this.exchange = exchange;
        this.deadlineTicks = deadlineTicks;
    }

    /** The client's side of the request. */
    ClientExchange exchange() {
        return exchange;
    }

    /** The id under which the router knows the request. */
    RequestId id() {
        return exchange.requestId;
    }

    /** The time by which the request must be answered. */
    long deadlineTicks() {
        return deadlineTicks;
    }

    /** Moves the deadline. */
    void setDeadline(long ticks) {
        deadlineTicks = ticks;
    }

    /** All attempts so far, by their numbers; for reading. */
    List<UpstreamAttempt> attempts() {
        return attempts;
    }

    /** Adds an attempt, which is open. */
    void attemptStarted(UpstreamAttempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    /** An attempt has ended. */
    void attemptEnded() {
        openAttempts--;
    }

    /** Whether an attempt has not ended yet. */
    boolean hasOpenAttempts() {
        return openAttempts > 0;
    }

    /** The response of this attempt is streamed to the client from now on. */
    void streamFrom(UpstreamAttempt attempt) {
        streamingAttempt = attempt;
    }

    /** Whether a response is streamed to the client. */
    boolean isStreaming() {
        return streamingAttempt != null;
    }

    /** Whether the response of this attempt is streamed to the client. */
    boolean isStreamedFrom(UpstreamAttempt attempt) {
        return streamingAttempt == attempt;
    }

    /** Whether the request's own body is streamed, and not buffered. */
    boolean hasStreamedBody() {
        return exchange.requestPipe != null;
    }

    /** No answer is owed any more. */
    void markAnswered() {
        answered = true;
    }

    /** Whether no answer is owed any more. */
    boolean isAnswered() {
        return answered;
    }

    /** Whether the request is answered and its last attempt has ended. */
    boolean isComplete() {
        return answered && openAttempts == 0;
    }
}
