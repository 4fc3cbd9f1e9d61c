package cairnbridge.proxy;

import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.proxy.ProxyEvent.EndpointListChanged;
import cairnbridge.proxy.ProxyEvent.FleetChanged;
import cairnbridge.proxy.ProxyEvent.FleetEvent;
import cairnbridge.proxy.ProxyEvent.HealthCheckCompleted;
import cairnbridge.proxy.ProxyEvent.HealthCheckRequested;
import cairnbridge.proxy.ProxyEvent.NodeMaintenanceChanged;
import cairnbridge.proxy.ProxyEvent.RouterEventRaised;
import cairnbridge.proxy.ProxyEvent.StaleListReceived;

/**
 * Handles the events of discovery, health checks, operators and the fleet. Used only by the
 * coordinator thread.
 */
final class FleetEventHandler {
    private final UpstreamPool upstreamPool;
    private final HealthCheck healthCheck;
    private final ActiveRequests activeRequests;
    private final AttemptSender attemptSender;
    private final CoordinatorListeners listeners;
    private final RouterNotifier router;
    private final TickClock clock;

    FleetEventHandler(
            CoordinatorContext context,
            UpstreamPool upstreamPool,
            HealthCheck healthCheck,
            AttemptSender attemptSender) {
        this.upstreamPool = upstreamPool;
        this.healthCheck = healthCheck;
        this.activeRequests = context.activeRequests();
        this.attemptSender = attemptSender;
        this.listeners = context.listeners();
        this.router = context.router();
        this.clock = context.clock();
    }

    /** Calls the method that handles this kind of fleet event. */
    void handle(FleetEvent event) {
        if (event instanceof EndpointListChanged changed) {
            handleEndpointListChanged(changed);
        } else if (event instanceof HealthCheckCompleted completed) {
            handleHealthCheckCompleted(completed);
        } else if (event instanceof RouterEventRaised raised) {
            router.notifyRouter(clock.now(), raised.event());
        } else if (event instanceof FleetChanged changed) {
            listeners.recovery().fleetChanged(changed.snapshot(), clock.now());
        } else if (event instanceof StaleListReceived received) {
            listeners.recovery().staleListReceived(received.version(), clock.now());
        } else if (event instanceof HealthCheckRequested requested) {
            checkHealth(requested.node());
        } else if (event instanceof NodeMaintenanceChanged changed) {
            handleMaintenanceChanged(changed);
        }
    }

    /** Starts a health check, whose result is posted as a {@link HealthCheckCompleted} event. */
    void checkHealth(NodeId node) {
        healthCheck.start(node, upstreamPool.addressOf(node));
    }

    private void handleEndpointListChanged(EndpointListChanged event) {
        upstreamPool.endpointListChanged(event.list(), event.addresses());
        listeners.load().endpointListChanged(event.list());
        listeners.recovery().endpointListChanged(event.list(), clock.now());
        router.notifyRouter(clock.now(), event.list());
        attemptSender.abandonUnsendableAttempts(activeRequests.all());
        event.applied().run();
    }

    private void handleHealthCheckCompleted(HealthCheckCompleted event) {
        listeners.load().healthCheckCompleted(event.node(), event.outcome(), clock.now());
        listeners.recovery().healthCheckCompleted(event.node(), event.outcome(), clock.now());
        router.notifyRouter(
                clock.now(),
                new Event.HealthCheckEnded(
                        event.node(), event.outcome(), event.durationTicks(), null));
    }

    private void handleMaintenanceChanged(NodeMaintenanceChanged event) {
        upstreamPool.setMaintenance(event.node(), event.enabled());
        router.notifyRouter(
                clock.now(), new Event.MaintenanceChanged(event.node(), event.enabled()));
        attemptSender.abandonUnsendableAttempts(activeRequests.all());
        event.applied().complete(true);
    }
}
