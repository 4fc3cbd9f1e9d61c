package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import java.util.HashSet;
import java.util.Set;

/**
 * A suspicion of a member and its deadline: the more members report it independently, the earlier
 * the member is declared dead (Lifeguard).
 */
final class Suspicion {
    /** The timeout of a suspicion with all expected confirmations, and with none. */
    record Timeouts(long min, long max) {}

    private final long startedAt;
    private final Timeouts timeouts;
    private final int expectedConfirmations;
    private final Set<MemberId> reporters = new HashSet<>();
    private long pausedFor;

    /**
     * Creates a suspicion that starts now.
     *
     * @param expectedConfirmations number of further reporters that reduce the timeout to its
     *     minimum
     * @param reporter the member that reports the suspicion first
     */
    Suspicion(long now, Timeouts timeouts, int wantedConfirmations, MemberId reporter) {
        this.startedAt = now;
        this.timeouts = timeouts;
        this.expectedConfirmations = wantedConfirmations;
        reporters.add(reporter);
    }

    /** Adds a reporter; true if it is new and shortens the timeout. */
    boolean confirm(MemberId reporter) {
        return reporters.size() <= expectedConfirmations && reporters.add(reporter);
    }

    /**
     * Extends the timeout by the length of a pause. Guards against deaths declared because time
     * passed while this process could not receive refutations.
     */
    void extendBy(long pause) {
        pausedFor += pause;
    }

    /** When the member is to be declared dead. */
    long due() {
        double confirmed =
                expectedConfirmations < 1
                        ? 1
                        : Math.log(reporters.size()) / Math.log(expectedConfirmations + 1);
        long shortened = (long) (timeouts.max - (timeouts.max - timeouts.min) * confirmed);
        return startedAt + pausedFor + Math.max(timeouts.min, shortened);
    }
}
