package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * The decision module of one proxy. Make one with its settings, seed, clock and host, then call
 * {@link #handle} for every event in order; it answers by calls on the host before it returns.
 * Nothing here reads a clock, a thread or another instance. All times are ticks.
 *
 * <p>A request passes these components: {@link RequestTable} takes it, {@link AdmissionControl}
 * admits it, {@link RequestPlacer} begins a {@link RingWalk} clockwise from its key's point, the
 * first {@link ServerNode} under its cap accepts it, and {@link Dispatcher} sends the attempt or
 * the answer. What a cache lacks is fetched through {@link OriginLimiter}.
 */
public final class Router {
    private final RouterContext context;

    /**
     * A router at a time of the clock. The warm start holds what still counts of what a router
     * whose place it takes had learnt; all else starts afresh.
     */
    public Router(Settings settings, long seed, long clock, Host host, WarmStartState warmStart) {
        context = new RouterContext(settings, seed, clock, host, warmStart);
        context.requests.startHousekeeping();
        if (settings.discovery().mustSubscribe()) {
            host.subscribeToEndpoints(true);
        }
    }

    /**
     * What the next router may start with. Limits, key popularity, speeds of machine kinds and load
     * reports depend on the shape of the fleet and are left out.
     */
    public WarmStartState warmStartState() {
        return new WarmStartState(
                context.now(),
                context.origin.typicalLatency(),
                context.slowStart.sendsPerWindow() * Ticks.SECOND / context.slowStart.window(),
                context.registry.trust());
    }

    /** Takes one event at a time of the clock, and acts on the host until nothing is left to do. */
    public void handle(long clock, Event event) {
        context.advanceTo(clock);
        if (event instanceof Event.TimerFired fired) {
            context.loop.timerFired(fired.timer());
        } else if (event instanceof Event.EndpointListReceived list) {
            context.loop.post(() -> context.registry.endpointListReceived(list));
        } else if (event instanceof Event.MaintenanceChanged changed) {
            context.loop.post(() -> context.registry.maintenanceChanged(changed));
        } else if (event instanceof Event.LiveProxyCountChanged changed) {
            context.proxyCountChanged(changed.count());
        } else if (event instanceof Event.PlacementChanged changed) {
            context.placementChanged(changed.placement());
        } else if (event instanceof Event.NodeSuspected suspected) {
            context.registry.nodeSuspected(suspected.node());
        } else {
            context.loop.post(() -> context.requests.handle(event));
        }
        context.loop.drain();
    }
}
