package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberId;
import java.util.HashSet;
import java.util.Set;

/**
 * When a suspect member is to be declared dead: the more members suspect it independently, the
 * sooner (Lifeguard).
 */
final class Suspicion {
    /** How long a suspicion lasts with all confirmations and with none. */
    record Timeouts(long min, long max) {}

    private final long startedAt;
    private final Timeouts timeouts;
    private final int expectedConfirmations;
    private final Set<MemberId> reporters = new HashSet<>();
    private long pausedFor;

    /**
     * A suspicion that begins now.
     *
     * @param wantedConfirmations this many further reporters bring the timeout down to its minimum
     * @param reporter who suspects the member first
     */
    Suspicion(long now, Timeouts timeouts, int wantedConfirmations, MemberId reporter) {
        this.startedAt = now;
        this.timeouts = timeouts;
        this.expectedConfirmations = wantedConfirmations;
        reporters.add(reporter);
    }

    /** Adds a reporter; true if it is a new one and shortens the timeout. */
    boolean confirm(MemberId reporter) {
        return reporters.size() <= expectedConfirmations && reporters.add(reporter);
    }

    /** Guards against deaths by a clock that ran while this member could hear nobody. */
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
