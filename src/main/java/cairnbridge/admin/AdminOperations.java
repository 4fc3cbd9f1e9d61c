package cairnbridge.admin;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The proxy operations that the administration endpoint calls. No method blocks. */
public interface AdminOperations {
    /** Whether the proxy accepts requests. */
    boolean isReady();

    /**
     * Puts a node into maintenance or ends its maintenance.
     *
     * @return true once the change is in force, false if the node is unknown; fails with a {@link
     *     NotPersistedException} if the change is in force but was not persisted
     */
    CompletableFuture<Boolean> setMaintenance(String node, boolean on);

    /**
     * Returns the status of the fleet or of one member.
     *
     * @param command members, members-json or member
     * @param id the member id if the command is member, otherwise ignored
     * @return empty if there is no fleet, or no such member
     */
    default Optional<String> fleetStatus(String command, String id) {
        return Optional.empty();
    }

    /**
     * Shows the zone plan, or drains or restores a zone.
     *
     * @param line the whole request line
     * @return the answer; empty if there are no zone plans
     */
    default Optional<CompletableFuture<String>> zoneCommand(String line) {
        return Optional.empty();
    }

    /** The progress of the recovery after a power loss; empty if no state is persisted. */
    default Optional<String> recoveryStatus() {
        return Optional.empty();
    }

    /** Enters standby, in which clients are turned away, or leaves it. */
    void setStandby(boolean on);
}
