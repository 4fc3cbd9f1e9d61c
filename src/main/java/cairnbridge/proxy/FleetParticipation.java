package cairnbridge.proxy;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** A proxy's part in a fleet; {@link #NONE} for a proxy on its own. Any thread may call it. */
interface FleetParticipation {
    /** Takes part in no fleet. */
    FleetParticipation NONE = new NoFleet();

    /** Starts to speak with other members; once, before the proxy itself starts. */
    void start();

    /** Tells the fleet that this member ends, and waits until that is sent. */
    void leave() throws InterruptedException;

    /** Ends the participation at once; may be called before the start, and again. */
    void stop();

    /**
     * The status of the fleet; empty if there is no fleet, or no such member.
     *
     * @param command members, members-json or member
     * @param id the member that is asked for, with the command member
     */
    Optional<String> status(String command, String id);

    /** Runs an admin command on zone plans; empty if there are none. */
    Optional<CompletableFuture<String>> zoneCommand(String line);

    /** The participation of a proxy that is in no fleet. */
    final class NoFleet implements FleetParticipation {
        private NoFleet() {}

        @Override
        public void start() {
            // There is nobody to speak with.
        }

        @Override
        public void leave() {
            // Nobody has to know.
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
