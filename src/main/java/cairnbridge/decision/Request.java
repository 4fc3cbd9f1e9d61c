package cairnbridge.decision;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.hash.SplitMix64;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The record kept of one request from its arrival to the end of its last attempt. */
final class Request {
    final RequestId id;
    final RequestPolicy policy;

    /** Null where the request names none. */
    final KeyId key;

    final int tenant;
    final long ringPoint;
    final long arrivedAt;
    final long deadline;

    /** An answer after this is worth nothing. */
    final long usefulUntil;

    final boolean isWrite;
    final boolean isClientRetry;
    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private int openAttempts;
    private double priorityWeight;
    private boolean isFinished;
    private boolean isStreaming;
    private boolean isWaitingForOrigin;
    private ServerNode missedAt;

    Request(Event.RequestArrived event, RequestPolicy policy, long now) {
        id = event.request();
        this.policy = policy;
        key = event.key();
        tenant = event.tenant().value();
        ringPoint = SplitMix64.mix(key == null ? id.value() : key.value());
        arrivedAt = now;
        deadline = event.deadline();
        usefulUntil =
                policy.countsWhenLate()
                        ? deadline
                        : Math.min(deadline, now + policy.latencyObjective());
        isWrite = event.isWrite();
        isClientRetry = event.isClientRetry();
        priorityWeight = policy.priorityWeight();
    }

    /** All attempts so far, by their number. */
    List<Attempt> attempts() {
        return attemptsView;
    }

    /** The attempt of a number while it is open; null otherwise. */
    Attempt openAttempt(int number) {
        boolean isKnown = number >= 0 && number < attempts.size();
        return isKnown && attempts.get(number).isOpen() ? attempts.get(number) : null;
    }

    void attemptStarted(Attempt attempt) {
        attempts.add(attempt);
        openAttempts++;
    }

    void attemptEnded(Attempt attempt, Event.AttemptOutcome outcome) {
        attempt.ended(outcome);
        openAttempts--;
    }

    int openAttempts() {
        return openAttempts;
    }

    /** Whether some attempt is not proven to have had no effect. */
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
     * The last time at which one more attempt may begin: within the deadline, and within the
     * deduplication window, which counts from the first attempt that may have run.
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

    /** Beyond its tenant's quota a request counts less. */
    void lowerPriority(double factor) {
        priorityWeight *= factor;
    }

    /** Whether nothing is owed any more. */
    boolean isFinished() {
        return isFinished;
    }

    void finish() {
        isFinished = true;
    }

    /** Whether the answer has begun to pass through to the client. */
    boolean isStreaming() {
        return isStreaming;
    }

    void streamingStarted() {
        isStreaming = true;
    }

    /** Whether it is in the origin's queue, or waits for another request's fetch. */
    boolean isWaitingForOrigin() {
        return isWaitingForOrigin;
    }

    void waitForOrigin() {
        isWaitingForOrigin = true;
    }

    void stopWaitingForOrigin() {
        isWaitingForOrigin = false;
    }

    /** The first cache that lacked the key; null where none did. */
    ServerNode missedAt() {
        return missedAt;
    }

    void missedAt(ServerNode node) {
        missedAt = missedAt == null ? node : missedAt;
    }
}
