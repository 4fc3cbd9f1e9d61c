package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * The decision module of one proxy. Create one with its settings, seed, clock and host, then call
 * {@link #handle} for every event in order; the router responds by calling the host before {@link
 * #handle} returns. It does not read a clock, start threads or share state with other instances.
 * All times are ticks.
 *
 * <p>A request passes through these components: {@link RequestTable} stores it, {@link
 * AdmissionControl} admits it, {@link RequestPlacer} starts a {@link RingWalk} clockwise from its
 * key's point, the first {@link ServerNode} with capacity accepts it, and {@link Dispatcher} sends
 * the attempt or the answer. Keys that a cache lacks are fetched through {@link OriginLimiter}.
 */
public final class Router {
    private final RouterContext context;

    /**
     * Creates a router.
     *
     * @param clock the current clock time
     * @param warmStart the state recorded by a previous router, {@link WarmStartState#EMPTY} for
     *     none; it has less effect the older it is, and all other state starts empty
     */
    public Router(Settings settings, long seed, long clock, Host host, WarmStartState warmStart) {
        context = new RouterContext(settings, seed, clock, host, warmStart);
        context.requests.startHousekeeping();
        if (settings.discovery().mustSubscribe()) {
            host.subscribeToEndpoints(true);
        }
    }

    /**
     * Returns the state that a successor router may start with. Limits, key popularity, speeds of
     * machine kinds and load reports depend on the size and composition of the fleet and are not
     * included.
     */
    public WarmStartState warmStartState() {
        return new WarmStartState(
                context.now(),
                context.origin.typicalLatency(),
                context.slowStart.sendsPerWindow() * Ticks.SECOND / context.slowStart.window(),
                context.registry.savedHealth());
    }

    /** The number of points on the ring, which decides how much memory the ring takes. */
    public int ringPointCount() {
        return context.ring.points().size();
    }

    /** Handles one event at a clock time, and runs all calls that result from it. */
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
