package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;

/** Counts the load of this proxy for its fleet; called on the owner thread. Times are ticks. */
interface LoadListener {
    /** Counts nothing. */
    LoadListener NONE =
            new LoadListener() {
                @Override
                public void requestAccepted(int category) {
                    // Nothing is counted.
                }

                @Override
                public void attemptEnded(
                        NodeId node,
                        int category,
                        AttemptOutcome outcome,
                        long durationTicks,
                        long remainingTicks,
                        long nowTicks) {
                    // Nothing is counted.
                }

                @Override
                public void endpointListChanged(Event.EndpointListReceived list) {
                    // Nothing is counted.
                }

                @Override
                public void healthCheckCompleted(
                        NodeId node, AttemptOutcome outcome, long nowTicks) {
                    // Nothing is counted.
                }

                @Override
                public void publish(long nowTicks) {
                    // Nothing is counted.
                }
            };

    /** A request of a category was accepted. */
    void requestAccepted(int category);

    /**
     * An attempt has ended.
     *
     * @param remainingTicks what was left until its request's deadline
     */
    void attemptEnded(
            NodeId node,
            int category,
            AttemptOutcome outcome,
            long durationTicks,
            long remainingTicks,
            long nowTicks);

    /** Discovery has sent a list or a part of one, or could not be reached. */
    void endpointListChanged(Event.EndpointListReceived list);

    /** A health check has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks);

    /** Makes what was counted so far readable for other threads. */
    void publish(long nowTicks);
}
