package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.recovery.FleetSnapshot;

/**
 * The request coordinator's interface to the recovery from a power loss: receives events, and
 * admits or rejects new requests. Called on the coordinator thread; times are ticks.
 */
interface RecoveryListener {
    /** Admits all requests; used where there is no recovery. */
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

    /** Admits a new request, or answers it with a rejection or failure and returns false. */
    boolean admit(ClientExchange exchange, long deadlineTicks, long nowTicks);

    /** A request was given its final answer, or was dropped without one. */
    void requestAnswered(ClientExchange exchange);

    /** An attempt has ended. */
    void attemptEnded(
            UpstreamAttempt attempt, AttemptOutcome outcome, long durationTicks, long nowTicks);

    /** Discovery has sent the endpoint list or changes to it, or could not be reached. */
    void endpointListChanged(Event.EndpointListReceived list, long nowTicks);

    /** Discovery has sent a list that is older than a known version; it is not used. */
    void staleListReceived(long version, long nowTicks);

    /** A health check has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks);

    /** The fleet's membership view has changed. */
    void fleetChanged(FleetSnapshot snapshot, long nowTicks);

    /** Enters each next phase of the recovery whose condition is met. */
    void advance(long nowTicks);
}
