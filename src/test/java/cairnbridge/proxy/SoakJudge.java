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
final class SoakJudge {
    /** How long after its TTL an answer may come before the request counts as lost. */
    static final long LATE_ANSWER_MILLIS = 500;

    /** How long after its client has left an attempt may begin. */
    static final long LATE_ATTEMPT_MILLIS = 100;

    /** How much longer than the client waits an attempt may be told that it has. */
    static final long DEADLINE_SLACK_MILLIS = 150;

    /** A connection that rested so long may be closed while a request is on its way to it. */
    static final long REST_MILLIS = 100;

    /** Within this time of its sending a close counts as having crossed a request. */
    static final long CROSSING_MILLIS = 100;

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
    private enum End {
        ANSWERED,
        CLOSED,
        CLIENT_LEFT
    }

    private record Attempt(String node, long atNanos, long toldMillis) {}

    /** One request; its fields are guarded by its own lock. */
    private static final class Entry {
        private final boolean repeatable;
        private final long ttlMillis;
        private final long restedMillis;
        private final long sentNanos;
        private final List<Attempt> attempts = new ArrayList<>();
        private End end;
        private long endNanos;

        Entry(boolean repeatable, long ttlMillis, long restedMillis, long sentNanos) {
            this.repeatable = repeatable;
            this.ttlMillis = ttlMillis;
            this.restedMillis = restedMillis;
            this.sentNanos = sentNanos;
        }
    }

    private final Map<String, Entry> requests = new ConcurrentHashMap<>();
    private final Map<String, Long> drainedSinceNanos = new ConcurrentHashMap<>();

    /**
     * A client is about to write the last byte of a request.
     *
     * @param restedMillis how long its connection had been idle; 0 for a new connection
     */
    void sent(
            String traceId, boolean repeatable, long ttlMillis, long restedMillis, long nowNanos) {
        requests.put(traceId, new Entry(repeatable, ttlMillis, restedMillis, nowNanos));
    }

    /** A client has a whole answer. */
    void answered(String traceId, long nowNanos) {
        end(traceId, End.ANSWERED, nowNanos);
    }

    /** A client's connection was closed with no whole answer. */
    void closed(String traceId, long nowNanos) {
        end(traceId, End.CLOSED, nowNanos);
    }

    /** A client has closed its connection without waiting for the answer. */
    void clientLeft(String traceId, long nowNanos) {
        end(traceId, End.CLIENT_LEFT, nowNanos);
    }

    private void end(String traceId, End end, long nowNanos) {
        Entry entry = requests.get(traceId);
        synchronized (entry) {
            entry.end = end;
            entry.endNanos = nowNanos;
        }
    }

    /** A server has read a whole attempt that was told to take this long at most. */
    void attempted(String traceId, String node, long toldMillis, long nowNanos) {
        Entry entry = requests.get(traceId);
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
        return requests.values().stream().filter(entry -> entry.end == End.ANSWERED).count();
    }

    /** How many requests crossed the close of a connection that had rested. */
    long crossedCount() {
        return requests.values().stream()
                .filter(entry -> entry.end == End.CLOSED && hasCrossed(entry))
                .count();
    }

    /** All broken rules, once the run is over. */
    List<Violation> violations() {
        List<Violation> found = new ArrayList<>();
        requests.forEach(
                (traceId, entry) -> {
                    synchronized (entry) {
                        checkEnd(traceId, entry, found);
                        checkAttempts(traceId, entry, found);
                    }
                });
        return found;
    }

    private static void checkEnd(String traceId, Entry entry, List<Violation> found) {
        long tookMillis = millisBetween(entry.sentNanos, entry.endNanos);
        if (entry.end == null) {
            found.add(new Violation(Rule.LOST, traceId, "no end"));
        } else if (entry.end == End.ANSWERED && tookMillis > entry.ttlMillis + LATE_ANSWER_MILLIS) {
            found.add(new Violation(Rule.LOST, traceId, "answered after " + tookMillis + " ms"));
        } else if (entry.end == End.CLOSED && !hasCrossed(entry)) {
            String detail =
                    "closed after "
                            + tookMillis
                            + " ms, "
                            + entry.attempts.size()
                            + " attempts, rested "
                            + entry.restedMillis
                            + " ms";
            found.add(new Violation(Rule.LOST, traceId, detail));
        }
    }

    private static boolean hasCrossed(Entry entry) {
        return entry.attempts.isEmpty()
                && entry.restedMillis >= REST_MILLIS
                && millisBetween(entry.sentNanos, entry.endNanos) <= CROSSING_MILLIS;
    }

    private void checkAttempts(String traceId, Entry entry, List<Violation> found) {
        if (!entry.repeatable && entry.attempts.size() > 1) {
            found.add(new Violation(Rule.DUPLICATE, traceId, entry.attempts.size() + " attempts"));
        }
        for (Attempt attempt : entry.attempts) {
            long leftMillis = entry.ttlMillis - millisBetween(entry.sentNanos, attempt.atNanos);
            if (attempt.toldMillis > leftMillis + DEADLINE_SLACK_MILLIS) {
                String detail = "told " + attempt.toldMillis + " ms of " + leftMillis;
                found.add(new Violation(Rule.DEADLINE, traceId, detail));
            }
            long lateMillis = millisBetween(entry.endNanos, attempt.atNanos);
            if (entry.end == End.CLIENT_LEFT && lateMillis > LATE_ATTEMPT_MILLIS) {
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
