package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;

/** Receives the results of health checks; called on the reactor thread. */
interface HealthCheckListener {
    /** Called when a health check of a node has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks);
}
