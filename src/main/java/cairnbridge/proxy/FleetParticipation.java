package cairnbridge.proxy;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A proxy's participation in a fleet; {@link #NONE} without a fleet. Any thread may call it. */
interface FleetParticipation {
    /** Takes part in no fleet. */
    FleetParticipation NONE = new NoFleet();

    /** Starts to exchange messages with other members; called once, before the proxy starts. */
    void start();

    /** Announces to the fleet that this member leaves, and waits until that is sent. */
    void leave() throws InterruptedException;

    /** Ends the participation at once; may be called before the start, and repeatedly. */
    void stop();

    /**
     * The status of the fleet or of a member; empty if there is no fleet, or no such member.
     *
     * @param command members, members-json or member
     * @param id the member's name for the command member, ignored for the others
     */
    Optional<String> status(String command, String id);

    /** Runs an admin command on zone plans; empty if there are none. */
    Optional<CompletableFuture<String>> zoneCommand(String line);

    /** The participation of a proxy that is not in a fleet. */
    final class NoFleet implements FleetParticipation {
        private NoFleet() {}

        @Override
        public void start() {
            // There are no other members.
        }

        @Override
        public void leave() {
            // There are no other members.
        }

        @Override
        public void stop() {
            // Nothing was started.
        }

        @Override
        public Optional<String> status(String command, String id) {
            return Optional.empty();
        }

        @Override
        public Optional<CompletableFuture<String>> zoneCommand(String line) {
            return Optional.empty();
        }
    }
}
