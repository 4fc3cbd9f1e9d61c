package cairnbridge.proxy;

import cairnbridge.fleet.FleetMember;
import java.util.Map;
import java.util.Optional;

/** Persists a proxy's state across a power loss; {@link #NONE} persists nothing. */
interface Persistence {
    /** Persists nothing. */
    Persistence NONE = new NoPersistence();

    /** Connects the proxy to its recovery from a power loss; empty if there is no recovery. */
    Optional<RecoveryLink> recoveryLink();

    /** The persisted epoch of zone plans, and where the fleet member persists new epochs. */
    FleetMember.PlanEpochs planEpochs();

    /** Restores the persisted state and starts to persist; called once, before the proxy starts. */
    void start(FleetMember member);

    /** The metrics of the recovery and of the state store, by name; any thread may call it. */
    Map<String, Long> metrics();

    /** The recovery's status for operators, empty without a recovery; any thread may call it. */
    Optional<String> recoveryStatus();

    /** Stops persisting, and waits until pending writes are complete. */
    void stop() throws InterruptedException;

    /** The persistence of a proxy for which none is configured. */
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
