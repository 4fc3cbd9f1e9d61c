package cairnbridge.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Collects what clients and servers saw of each request, and says which rules of the service were
 * broken. Times are those of {@link System#nanoTime}. Any thread may call it.
 */
final class SoakChecker {
    /** How long after its TTL an answer may come before the request counts as lost. */
    static final long LATE_ANSWER_MILLIS = 500;

    /** How long after its client has left an attempt may begin. */
    static final long LATE_ATTEMPT_MILLIS = 100;

    /** How much longer than the client waits an attempt may be told that it has. */
    static final long DEADLINE_SLACK_MILLIS = 150;

    /** A connection that rested so long may be closed while a request is on its way to it. */
    static final long CLOSE_RACE_IDLE_MILLIS = 100;

    /** Within this time of its sending a close counts as having crossed a request. */
    static final long CLOSE_RACE_MILLIS = 100;

    /** The rules that a run can break. */
    enum Rule {
        LOST,
        DUPLICATE,
        DRAINING,
        LATE_ATTEMPT,
        DEADLINE
    }

    /**
     * A broken rule.
     *
     * @param traceId the request that shows it
     */
    record Violation(Rule rule, String traceId, String detail) {}

    /** How a request ended as its client saw it. */
    private enum Outcome {
        ANSWERED,
        CLOSED,
        CLIENT_DISCONNECTED
    }

    private record Attempt(String node, long atNanos, long expiresInMillis) {}

    /** One request; its fields are guarded by its own lock. */
    private static final class TrackedRequest {
        private final boolean repeatable;
        private final long ttlMillis;
        private final long idleMillis;
        private final long sentNanos;
        private final List<Attempt> attempts = new ArrayList<>();
        private Outcome outcome;
        private long outcomeNanos;

        TrackedRequest(boolean repeatable, long ttlMillis, long restedMillis, long sentNanos) {
            this.repeatable = repeatable;
            this.ttlMillis = ttlMillis;
            this.idleMillis = restedMillis;
            this.sentNanos = sentNanos;
        }
    }

    private final Map<String, TrackedRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Long> drainedSinceNanos = new ConcurrentHashMap<>();

    /**
     * A client is about to write the last byte of a request.
     *
     * @param restedMillis how long its connection had been idle; 0 for a new connection
     */
    void sent(
            String traceId, boolean repeatable, long ttlMillis, long restedMillis, long nowNanos) {
        requests.put(traceId, new TrackedRequest(repeatable, ttlMillis, restedMillis, nowNanos));
    }

    /** A client has a whole answer. */
    void answered(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.ANSWERED, nowNanos);
    }

    /** A client's connection was closed with no whole answer. */
    void closed(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.CLOSED, nowNanos);
    }

    /** A client has closed its connection without waiting for the answer. */
    void clientDisconnected(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.CLIENT_DISCONNECTED, nowNanos);
    }

    private void recordOutcome(String traceId, Outcome end, long nowNanos) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            entry.outcome = end;
            entry.outcomeNanos = nowNanos;
        }
    }

    /** A server has read a whole attempt that was told to take this long at most. */
    void attempted(String traceId, String node, long toldMillis, long nowNanos) {
        TrackedRequest entry = requests.get(traceId);
        if (entry != null) { // Others are of the warm-up, or of health checks.
            synchronized (entry) {
                entry.attempts.add(new Attempt(node, nowNanos, toldMillis));
            }
        }
    }

    /** From this time on nothing new may reach a node. */
    void drained(String node, long fromNanos) {
        drainedSinceNanos.put(node, fromNanos);
    }

    /** How many requests were sent. */
    int requestCount() {
        return requests.size();
    }

    /** How many requests were answered. */
    long answeredCount() {
        return requests.values().stream().filter(entry -> entry.outcome == Outcome.ANSWERED).count();
    }

    /** How many requests crossed the close of a connection that had rested. */
    long closeRaceCount() {
        return requests.values().stream()
                .filter(entry -> entry.outcome == Outcome.CLOSED && isCloseRace(entry))
                .count();
    }

    /** All broken rules, once the run is over. */
    List<Violation> violations() {
        List<Violation> found = new ArrayList<>();
        requests.forEach(
                (traceId, entry) -> {
                    synchronized (entry) {
                        checkOutcome(traceId, entry, found);
                        checkAttempts(traceId, entry, found);
                    }
                });
        return found;
    }

    private static void checkOutcome(String traceId, TrackedRequest entry, List<Violation> found) {
        long tookMillis = millisBetween(entry.sentNanos, entry.outcomeNanos);
        if (entry.outcome == null) {
            found.add(new Violation(Rule.LOST, traceId, "no end"));
        } else if (entry.outcome == Outcome.ANSWERED && tookMillis > entry.ttlMillis + LATE_ANSWER_MILLIS) {
            found.add(new Violation(Rule.LOST, traceId, "answered after " + tookMillis + " ms"));
        } else if (entry.outcome == Outcome.CLOSED && !isCloseRace(entry)) {
            String detail =
                    "closed after "
                            + tookMillis
                            + " ms, "
                            + entry.attempts.size()
                            + " attempts, rested "
                            + entry.idleMillis
                            + " ms";
            found.add(new Violation(Rule.LOST, traceId, detail));
        }
    }

    private static boolean isCloseRace(TrackedRequest entry) {
        return entry.attempts.isEmpty()
                && entry.idleMillis >= CLOSE_RACE_IDLE_MILLIS
                && millisBetween(entry.sentNanos, entry.outcomeNanos) <= CLOSE_RACE_MILLIS;
    }

    private void checkAttempts(String traceId, TrackedRequest entry, List<Violation> found) {
        if (!entry.repeatable && entry.attempts.size() > 1) {
            found.add(new Violation(Rule.DUPLICATE, traceId, entry.attempts.size() + " attempts"));
        }
        for (Attempt attempt : entry.attempts) {
            long leftMillis = entry.ttlMillis - millisBetween(entry.sentNanos, attempt.atNanos);
            if (attempt.expiresInMillis > leftMillis + DEADLINE_SLACK_MILLIS) {
                String detail = "told " + attempt.expiresInMillis + " ms of " + leftMillis;
                found.add(new Violation(Rule.DEADLINE, traceId, detail));
            }
            long lateMillis = millisBetween(entry.outcomeNanos, attempt.atNanos);
            if (entry.outcome == Outcome.CLIENT_DISCONNECTED && lateMillis > LATE_ATTEMPT_MILLIS) {
                String detail = "begun " + lateMillis + " ms after its client left";
                found.add(new Violation(Rule.LATE_ATTEMPT, traceId, detail));
            }
            Long drainedNanos = drainedSinceNanos.get(attempt.node);
            if (drainedNanos != null && attempt.atNanos - drainedNanos > 0) {
                found.add(new Violation(Rule.DRAINING, traceId, "sent to " + attempt.node));
            }
        }
    }

    private static long millisBetween(long fromNanos, long toNanos) {
        return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
    }
}
