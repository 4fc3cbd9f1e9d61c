package cairnbridge.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Records what clients and servers observe of each request, and reports which rules of the service
 * were violated. Times are values of {@link System#nanoTime}. Thread-safe.
 */
final class SoakChecker {
    /** How long after its TTL a response may arrive before the request counts as lost. */
    static final long LATE_ANSWER_MILLIS = 500;

    /** How long after its client has disconnected an attempt may still reach a server. */
    static final long LATE_ATTEMPT_MILLIS = 100;

    /** How far the expiry of an attempt may exceed the remaining TTL of its request. */
    static final long DEADLINE_SLACK_MILLIS = 150;

    /**
     * The shortest idle time after which the proxy may close a connection while a request is in
     * transit.
     */
    static final long CLOSE_RACE_IDLE_MILLIS = 100;

    /**
     * The longest time from sending a request to the close of its connection that counts as a race.
     */
    static final long CLOSE_RACE_MILLIS = 100;

    /**
     * The rules: no request is lost, no write is repeated, a draining node gets nothing new, no
     * attempt begins after its client has disconnected, and no attempt gets a longer deadline than
     * its request.
     */
    enum Rule {
        LOST,
        DUPLICATE,
        DRAINING,
        LATE_ATTEMPT,
        DEADLINE
    }

    /**
     * A violated rule.
     *
     * @param traceId the request that shows it
     */
    record Violation(Rule rule, String traceId, String detail) {}

    /** The outcome of a request as its client observed it. */
    private enum Outcome {
        ANSWERED,
        CLOSED,
        CLIENT_DISCONNECTED
    }

    private record Attempt(String node, long arrivedNanos, long atNanos, long expiresInMillis) {}

    /** What is recorded of one request. Its own monitor guards its fields. */
    private static final class TrackedRequest {
        private final boolean repeatable;
        private final long ttlMillis;
        private final long idleMillis;
        private final long sentNanos;
        private final List<Attempt> attempts = new ArrayList<>();
        private Outcome outcome;
        private long outcomeNanos;
        private int localPort;
        private long writtenNanos;

        /** Known for late responses only; otherwise 0. */
        private long responseArrivedNanos;

        TrackedRequest(boolean repeatable, long ttlMillis, long idleMillis, long sentNanos) {
            this.repeatable = repeatable;
            this.ttlMillis = ttlMillis;
            this.idleMillis = idleMillis;
            this.sentNanos = sentNanos;
        }
    }

    private final Map<String, TrackedRequest> requests = new ConcurrentHashMap<>();
    private final Map<String, Long> drainedSinceNanos = new ConcurrentHashMap<>();

    /**
     * Records that a client is about to send a request, whose TTL counts from now.
     *
     * @param idleMillis how long its connection had been idle; 0 for a new connection
     */
    void sent(String traceId, boolean repeatable, long ttlMillis, long idleMillis, long nowNanos) {
        requests.put(traceId, new TrackedRequest(repeatable, ttlMillis, idleMillis, nowNanos));
    }

    /** Records that the system has taken all bytes of a request from the client. */
    void written(String traceId, int localPort, long nowNanos) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            entry.localPort = localPort;
            entry.writtenNanos = nowNanos;
        }
    }

    /** Records that a client has read a whole response. */
    void answered(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.ANSWERED, nowNanos);
    }

    /** Whether the response of an answered request was read after its TTL. */
    boolean isLate(String traceId) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            return millisBetween(entry.sentNanos, entry.outcomeNanos) > entry.ttlMillis;
        }
    }

    /** Records when the system received the last bytes of a response; for the timeline only. */
    void arrived(String traceId, long arrivedNanos) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            entry.responseArrivedNanos = arrivedNanos;
        }
    }

    /** Records that a client's connection was closed before it had read a whole response. */
    void closed(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.CLOSED, nowNanos);
    }

    /** Records that a client has closed its connection before the response. */
    void clientDisconnected(String traceId, long nowNanos) {
        recordOutcome(traceId, Outcome.CLIENT_DISCONNECTED, nowNanos);
    }

    private void recordOutcome(String traceId, Outcome outcome, long nowNanos) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            entry.outcome = outcome;
            entry.outcomeNanos = nowNanos;
        }
    }

    /**
     * Records that a server has read a whole attempt.
     *
     * @param expiresInMillis the remaining time that the attempt's header states
     * @param arrivedNanos when the system received the last bytes of the attempt
     */
    void attempted(
            String traceId, String node, long expiresInMillis, long arrivedNanos, long nowNanos) {
        TrackedRequest entry = requests.get(traceId);
        if (entry != null) { // Warm-up requests and health checks are not tracked.
            synchronized (entry) {
                entry.attempts.add(new Attempt(node, arrivedNanos, nowNanos, expiresInMillis));
            }
        }
    }

    /** Records that a node must receive no new attempt after the given time. */
    void drained(String node, long sinceNanos) {
        drainedSinceNanos.put(node, sinceNanos);
    }

    /** The number of requests sent. */
    int requestCount() {
        return requests.size();
    }

    /** The number of requests with a whole response. */
    long answeredCount() {
        return requests.values().stream()
                .filter(entry -> entry.outcome == Outcome.ANSWERED)
                .count();
    }

    /**
     * The number of requests that raced with the close of an idle connection and got no response.
     */
    long closeRaceCount() {
        return requests.values().stream()
                .filter(entry -> entry.outcome == Outcome.CLOSED && isCloseRace(entry))
                .count();
    }

    /** All violations of the run. Called after the clients have stopped. */
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
        long elapsedMillis = millisBetween(entry.sentNanos, entry.outcomeNanos);
        if (entry.outcome == null) {
            found.add(new Violation(Rule.LOST, traceId, "no outcome"));
        } else if (entry.outcome == Outcome.ANSWERED
                && elapsedMillis > entry.ttlMillis + LATE_ANSWER_MILLIS) {
            found.add(new Violation(Rule.LOST, traceId, "answered after " + elapsedMillis + " ms"));
        } else if (entry.outcome == Outcome.CLOSED && !isCloseRace(entry)) {
            String detail =
                    "closed after "
                            + elapsedMillis
                            + " ms, "
                            + entry.attempts.size()
                            + " attempts, idle for "
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
            long remainingMillis =
                    entry.ttlMillis - millisBetween(entry.sentNanos, attempt.arrivedNanos);
            if (attempt.expiresInMillis > remainingMillis + DEADLINE_SLACK_MILLIS) {
                String detail =
                        "expires in "
                                + attempt.expiresInMillis
                                + " ms, remaining TTL in ms: "
                                + remainingMillis;
                found.add(new Violation(Rule.DEADLINE, traceId, detail));
            }
            long lateMillis = millisBetween(entry.outcomeNanos, attempt.arrivedNanos);
            if (entry.outcome == Outcome.CLIENT_DISCONNECTED && lateMillis > LATE_ATTEMPT_MILLIS) {
                String detail = "begun " + lateMillis + " ms after its client disconnected";
                found.add(new Violation(Rule.LATE_ATTEMPT, traceId, detail));
            }
            Long drainedNanos = drainedSinceNanos.get(attempt.node);
            if (drainedNanos != null && attempt.arrivedNanos - drainedNanos > 0) {
                found.add(new Violation(Rule.DRAINING, traceId, "sent to " + attempt.node));
            }
        }
    }

    /**
     * The recorded times of a request in milliseconds after it was sent, and the local port of its
     * client.
     */
    String timeline(String traceId) {
        TrackedRequest entry = requests.get(traceId);
        synchronized (entry) {
            StringBuilder text = new StringBuilder();
            text.append("sent at ").append(entry.sentNanos);
            text.append(" from port ").append(entry.localPort);
            text.append(", written +").append(millisBetween(entry.sentNanos, entry.writtenNanos));
            for (Attempt attempt : entry.attempts) {
                text.append(", at ").append(attempt.node).append(" arrived +");
                text.append(millisBetween(entry.sentNanos, attempt.arrivedNanos));
                text.append(" read +").append(millisBetween(entry.sentNanos, attempt.atNanos));
            }
            text.append(", ").append(entry.outcome).append(" +");
            text.append(millisBetween(entry.sentNanos, entry.outcomeNanos));
            if (entry.responseArrivedNanos != 0) {
                text.append(", response arrived +");
                text.append(millisBetween(entry.sentNanos, entry.responseArrivedNanos));
            }
            return text.toString();
        }
    }

    /** When a request was sent. */
    long sentNanos(String traceId) {
        return requests.get(traceId).sentNanos;
    }

    /** When the outcome of a request was recorded. */
    long outcomeNanos(String traceId) {
        return requests.get(traceId).outcomeNanos;
    }

    private static long millisBetween(long fromNanos, long toNanos) {
        return TimeUnit.NANOSECONDS.toMillis(toNanos - fromNanos);
    }
}
