package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;

/**
 * The recovery from a power loss, as the coordinator sees it: hears what happens, and admits
 * requests. Called on the owner thread; times are ticks.
 */
interface RecoveryListener {
    /** Admits all requests. */
    RecoveryListener NONE =
            new RecoveryListener() {
                @Override
                public boolean admit(ClientExchange exchange, long deadlineTicks, long nowTicks) {
                    return true;
                }

                @Override
                public void requestAnswered(ClientExchange exchange) {
                    // There is no recovery.
                }

                @Override
                public void attemptEnded(
                        UpstreamAttempt attempt,
                        AttemptOutcome outcome,
                        long durationTicks,
                        long nowTicks) {
                    // There is no recovery.
                }

                @Override
                public void endpointListChanged(Event.EndpointListReceived list, long nowTicks) {
                    // There is no recovery.
                }

                @Override
                public void staleListReceived(long version, long nowTicks) {
                    // There is no recovery.
                }

                @Override
                public void healthCheckCompleted(
                        NodeId node, AttemptOutcome outcome, long nowTicks) {
                    // There is no recovery.
                }

                @Override
                public void fleetChanged(FleetSnapshot snapshot, long nowTicks) {
                    // There is no recovery.
                }

                @Override
                public void advance(long nowTicks) {
                    // There is no recovery.
                }
            };

    /** Whether a new request is handled; one that is not has been answered by this call. */
    boolean admit(ClientExchange exchange, long deadlineTicks, long nowTicks);

    /** No answer is owed for a request any more. */
    void requestAnswered(ClientExchange exchange);

    /** An attempt has ended. */
    void attemptEnded(
            UpstreamAttempt attempt, AttemptOutcome outcome, long durationTicks, long nowTicks);

    /** Discovery has sent a list or a part of one, or could not be reached. */
    void endpointListChanged(Event.EndpointListReceived list, long nowTicks);

    /** Discovery has sent a list that is older than a known one; it is not in use. */
    void staleListReceived(long version, long nowTicks);

    /** A health check has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks);

    /** The fleet's membership view has changed. */
    void fleetChanged(FleetSnapshot snapshot, long nowTicks);

    /** Goes on to further phases if what they waited for has happened. */
    void advance(long nowTicks);
}
