package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;

/**
 * Is notified of the requests and attempts of this proxy, to count its load for the fleet. Called
 * on the coordinator thread; times are ticks.
 */
interface LoadListener {
    /** A listener that ignores all notifications, for a proxy without a fleet. */
    LoadListener NONE =
            new LoadListener() {
                @Override
                public void requestAccepted(int category) {
                    // This listener counts nothing.
                }

                @Override
                public void attemptEnded(
                        NodeId node,
                        int category,
                        AttemptOutcome outcome,
                        long durationTicks,
                        long remainingTicks,
                        long nowTicks) {
                    // This listener counts nothing.
                }

                @Override
                public void endpointListChanged(Event.EndpointListReceived list) {
                    // This listener counts nothing.
                }

                @Override
                public void healthCheckCompleted(
                        NodeId node, AttemptOutcome outcome, long nowTicks) {
                    // This listener counts nothing.
                }

                @Override
                public void publish(long nowTicks) {
                    // This listener counts nothing.
                }
            };

    /** A request of this category was accepted from a client. */
    void requestAccepted(int category);

    /**
     * An attempt at a node has ended.
     *
     * @param remainingTicks the time left until the deadline of its request; negative if it is past
     */
    void attemptEnded(
            NodeId node,
            int category,
            AttemptOutcome outcome,
            long durationTicks,
            long remainingTicks,
            long nowTicks);

    /** Discovery has sent the endpoint list or changes to it, or could not be reached. */
    void endpointListChanged(Event.EndpointListReceived list);

    /** A health check of a node has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks);

    /** Publishes the counts so far to other threads. */
    void publish(long nowTicks);
}
