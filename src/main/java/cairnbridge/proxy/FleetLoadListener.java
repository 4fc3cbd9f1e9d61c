package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.fleet.coordination.FleetLoadCounters;

/** Forwards the load to the fleet's counters; called on the coordinator thread. */
final class FleetLoadListener implements LoadListener {
    private final FleetLoadCounters counters;

    /** Creates a listener that updates these counters. */
    FleetLoadListener(FleetLoadCounters counters) {
        this.counters = counters;
    }

    @Override
    public void requestAccepted(int category) {
        counters.requestAccepted(category);
    }

    @Override
    public void attemptEnded(
            NodeId node,
            int category,
            AttemptOutcome outcome,
            long durationTicks,
            long remainingTicks,
            long nowTicks) {
        counters.attemptEnded(node, category, outcome, durationTicks, remainingTicks, nowTicks);
    }

    @Override
    public void endpointListChanged(Event.EndpointListReceived list) {
        counters.endpointListChanged(list);
    }

    @Override
    public void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks) {
        counters.probeEnded(node, outcome, nowTicks);
    }

    @Override
    public void publish(long nowTicks) {
        counters.publish(nowTicks);
    }
}
