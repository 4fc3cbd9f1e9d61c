package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;

/** Hears of the ends of health checks; called on the reactor's thread. */
interface HealthCheckListener {
    /** A health check has ended. */
    void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long durationTicks);
}
