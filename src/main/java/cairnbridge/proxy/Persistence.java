package cairnbridge.proxy;

import cairnbridge.fleet.FleetMember;
import java.util.Map;
import java.util.Optional;

/** What a proxy persists, to survive a power loss; {@link #NONE} persists nothing. */
interface Persistence {
    /** Persists nothing. */
    Persistence NONE = new NoPersistence();

    /** What tells the recovery after a power loss of the proxy's events; empty if there is none. */
    Optional<RecoveryLink> recoveryLink();

    /** What the fleet's member needs to know of zone plans before it is made. */
    FleetMember.PlanEpochs planEpochs();

    /** Restores what was persisted and persists from now on; once, before the proxy starts. */
    void start(FleetMember member);

    /** Metrics by their names; any thread may call it. */
    Map<String, Long> metrics();

    /** How far the recovery after a power loss is, for operators; any thread may call it. */
    Optional<String> recoveryStatus();

    /** Persists no more, and waits until what is under way is written. */
    void stop() throws InterruptedException;

    /** The persistence of a proxy without a disk. */
    final class NoPersistence implements Persistence {
        private NoPersistence() {}

        @Override
        public Optional<RecoveryLink> recoveryLink() {
            return Optional.empty();
        }

        @Override
        public FleetMember.PlanEpochs planEpochs() {
            return FleetMember.PlanEpochs.NONE;
        }

        @Override
        public void start(FleetMember member) {
            // There is nothing to restore.
        }

        @Override
        public Map<String, Long> metrics() {
            return Map.of();
        }

        @Override
        public Optional<String> recoveryStatus() {
            return Optional.empty();
        }

        @Override
        public void stop() {
            // Nothing was started.
        }
    }
}
