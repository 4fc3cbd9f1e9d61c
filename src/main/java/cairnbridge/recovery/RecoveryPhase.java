package cairnbridge.recovery;

import java.util.Optional;

/**
 * The phases of a proxy's recovery, in order. Each is entered at most once in a run of the process.
 * Phase numbers are announced to other members and exported as a metric, so the order of the
 * constants must not change.
 */
public enum RecoveryPhase {
    /** Waits until a majority of the fleet is in view. */
    AWAIT_MEMBERS("view", "members"),
    /** Waits until the endpoint list is confirmed. */
    AWAIT_ENDPOINT_LIST("roster", "a list of nodes"),
    /** Waits for the first answer of the origin. */
    AWAIT_ORIGIN("origin", "an answer of the origin"),
    /** Serves writes, requests that are not idempotent and the class of the highest priority. */
    SERVE_WRITES("writes", "the first writes"),
    /** Serves all requests, within the limit of requests in flight to the origin. */
    SERVE_READS("reads", "the origin to bear all that is asked"),
    /** Serves all requests without that limit: recovery is over. */
    SERVE_ALL("all", "nothing");

    private final String displayName;
    private final String awaited;

    RecoveryPhase(String displayName, String awaited) {
        this.displayName = displayName;
        this.awaited = awaited;
    }

    /** The name in log lines and in the answer of the admin call {@code recovery}. */
    String displayName() {
        return displayName;
    }

    /** What the phase waits for, in the answer of the admin call {@code recovery}. */
    String awaited() {
        return awaited;
    }

    /** The number announced to other members: from 1 for the first phase, 0 for the last one. */
    public int announced() {
        return this == SERVE_ALL ? 0 : ordinal() + 1;
    }

    /** The value of the metric: from 1 for the first phase. */
    public int metricValue() {
        return ordinal() + 1;
    }

    /** The phase of a member that announces this number; empty if the member is not recovering. */
    static Optional<RecoveryPhase> ofAnnounced(int number) {
        if (number == 0) {
            return Optional.empty();
        }
        // A newer version of the program may have more phases: they count as the last one.
        return Optional.of(values()[Math.min(number, values().length) - 1]);
    }
}
