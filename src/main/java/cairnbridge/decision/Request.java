package cairnbridge.decision;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The state of one request from its arrival to the end of its last attempt. */
final class Request {
    final RequestId id;
    final RequestPolicy policy;

    /** Null if the request names no key. */
    final KeyId key;

    final int tenant;
    final long ringPoint;
    final long arrivedAt;

    /** Changes only while the body is being received; see {@link #changeDeadline}. */
    long deadline;

    /** The time after which an answer has no value. */
    long usefulUntil;

    final boolean isWrite;
    final boolean isClientRetry;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private int openAttempts;
    private double priorityWeight;
    private boolean isFinished;
    private boolean isStreaming;
    private boolean isWaitingForOrigin;
    private ServerNode firstMissedAt;

    Request(Event.RequestArrived event, RequestPolicy policy, long now) {
        id = event.request();
        this.policy = policy;
        key = event.key();
        tenant = event.tenant().value();
        ringPoint = SplitMix64.mix(key == null ? id.value() : key.value());
        arrivedAt = now;
        changeDeadline(event.deadline(), now);
        isWrite = event.isWrite();
        isClientRetry = event.isClientRetry();
        priorityWeight = policy.priorityWeight();
    }

    /**
     * Sets the deadline.
     *
     * @param now the present time, from which the latency objective counts
     */
    void changeDeadline(long newDeadline, long now) {
        deadline = newDeadline;
        usefulUntil =
                policy.countsWhenLate()
                        ? deadline
                        : Math.min(deadline, now + policy.latencyObjective());
    }

    /** All attempts so far; the index is the attempt's number. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    /** Returns the attempt of this number if it is open, otherwise null. */
    Attempt openAttempt(int number) {
        boolean isKnown = number >= 0 && number < attempts.size();
        return isKnown && attempts.get(number).isOpen() ? attempts.get(number) : null;
    }

    void attemptStarted(Attempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    void attemptEnded(Attempt attempt, Event.AttemptOutcome outcome) {
        attempt.markEnded(outcome);
        openAttempts--;
    }

    int openAttempts() {
        return openAttempts;
    }

    /** Whether any attempt may have had an effect at its server. */
    boolean mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun()) {
                return true;
            }
        }
        return false;
    }

    boolean hasAttemptAt(ServerNode node) {
        for (Attempt attempt : attempts) {
            if (attempt.node == node) {
                return true;
            }
        }
        return false;
    }

    /**
     * The latest time at which another attempt may start: within the deadline, and within the
     * deduplication window, which begins with the first attempt that may have run.
     */
    long latestStart(long clockGranularity) {
        long latest = deadline - clockGranularity;
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveRun() && policy.effect() == Effect.DEDUPLICATED) {
                long windowEnd = attempt.sentAt + policy.deduplicationWindow();
                latest = Math.min(latest, windowEnd - clockGranularity);
            }
        }
        return latest;
    }

    double priorityWeight() {
        return priorityWeight;
    }

    /** Lowers the priority of a request that exceeds its tenant's quota. */
    void lowerPriority(double factor) {
        priorityWeight *= factor;
    }

    /** Whether the request needs no answer any more. */
    boolean isFinished() {
        return isFinished;
    }

    void finish() {
        isFinished = true;
    }

    /** Whether the response has begun to stream to the client. */
    boolean isStreaming() {
        return isStreaming;
    }

    void streamingStarted() {
        isStreaming = true;
    }

    /** Whether the request is in the origin's queue or waits for another request's fetch. */
    boolean isWaitingForOrigin() {
        return isWaitingForOrigin;
    }

    void waitForOrigin() {
        isWaitingForOrigin = true;
    }

    void originWaitEnded() {
        isWaitingForOrigin = false;
    }

    /** The first cache that did not hold the key, null if there is none. */
    ServerNode firstMissedAt() {
        return firstMissedAt;
    }

    void recordMissAt(ServerNode node) {
        firstMissedAt = firstMissedAt == null ? node : firstMissedAt;
    }
}
