package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.LocalProxy;
import cairnbridge.fleet.coordination.FleetLoadCounters;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.routing.ZoneRouter;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Connects the proxy to its fleet: provides what the fleet member announces about the proxy, and
 * passes the fleet's events and requests on to the proxy. The methods of {@link LocalProxy} are
 * called on the fleet's thread; events reach the coordinator thread through its queue.
 */
final class FleetLink implements LocalProxy {
    /**
     * A third of the descriptors is announced as the limit of requests in flight: above about that
     * share the proxy closes client connections with their answers.
     */
    private static final int CLIENT_SHARE_DIVISOR = 3;

    private final ZoneRouter.Counts placementCounts = new ZoneRouter.Counts();
    private final TickClock clock;
    private final ProxyConfig config;
    private final ListenerState listenerState;
    private final RequestCoordinator coordinator;
    private final FleetLoadCounters loadCounters;
    private final DiscoveryWatch discoveryWatch;
    private final EventQueue eventQueue;
    private final RecoveryStatus recovery;

    /** Empty while the member is being created, whose constructor already calls this link. */
    private volatile Optional<FleetMember> fleetMember = Optional.empty();

    /** Whether zone plans are in use. */
    private volatile boolean zonePlansEnabled;

    /**
     * Creates a link whose fleet member is set by {@link #setMember}.
     *
     * @param recovery null if nothing is persisted across a power loss
     */
    FleetLink(
            ProxyConfig config,
            TickClock clock,
            ListenerState listenerState,
            RequestCoordinator coordinator,
            FleetLoadCounters loadCounters,
            DiscoveryWatch discoveryWatch,
            EventQueue eventQueue,
            RecoveryStatus recovery) {
        this.config = config;
        this.clock = clock;
        this.listenerState = listenerState;
        this.coordinator = coordinator;
        this.loadCounters = loadCounters;
        this.discoveryWatch = discoveryWatch;
        this.eventQueue = eventQueue;
        this.recovery = recovery == null ? RecoveryStatus.NONE : recovery;
    }

    /** Sets the fleet member of this proxy; to be called before the proxy starts. */
    void setMember(FleetMember member) {
        fleetMember = Optional.of(member);
    }

    @Override
    public MemberMetadata.Lifecycle lifecycle() {
        return switch (listenerState.state()) {
            case STARTING -> MemberMetadata.Lifecycle.STARTING;
            case SERVING -> MemberMetadata.Lifecycle.SERVING;
            case STANDBY -> MemberMetadata.Lifecycle.STANDBY;
            case DRAINING -> MemberMetadata.Lifecycle.DRAINING;
        };
    }

    @Override
    public MemberMetrics metrics() {
        return new MemberMetrics(
                new MemberMetrics.Load(
                        coordinator.activeRequestCount(),
                        config.network().maxSockets() / CLIENT_SHARE_DIVISOR,
                        loadCounters.requestsPerSecond(clock.now())),
                new MemberMetrics.EndpointListStatus(
                        discoveryWatch.version(), discoveryWatch.isWatchHealthy()),
                loadCounters.reachability());
    }

    @Override
    public List<ListedNode> listedNodes() {
        return discoveryWatch.listedNodes().caches();
    }

    @Override
    public double slowStartFactor() {
        return config.settings().slowStart().initialShare();
    }

    @Override
    public long slowStartDuration() {
        return config.settings().slowStart().duration();
    }

    @Override
    public void routeChanged(ZoneRouter.LocalRoute route) {
        zonePlansEnabled = true;
        ZoneRouter router =
                new ZoneRouter(
                        route,
                        config.names().zones(),
                        config.settings().categories(),
                        loadCounters.requestsPerSecondByCategory(),
                        placementCounts);
        postRouterEvent(new Event.PlacementChanged(router));
    }

    @Override
    public RecoveryProgress recoveryProgress() {
        return recovery.progress(fleetMember.map(FleetMember::planEpoch).orElse(0L));
    }

    @Override
    public void viewPublished(MembershipView view) {
        if (zonePlansEnabled) {
            loadCounters.nodesToProbe(clock.now()).forEach(node -> probe(node.value()));
        }
        recovery.fleetChanged(view);
    }

    @Override
    public byte[] endpointList() {
        return recovery.confirmedEndpointList();
    }

    /** The numbers of requests since the start, by where zone plans placed them; any thread. */
    Map<String, Long> placementMetrics() {
        return Map.of(
                "zones.near_total",
                placementCounts.local.sum(),
                "zones.far_total",
                placementCounts.remote.sum(),
                "zones.shed_total",
                placementCounts.shed.sum());
    }

    @Override
    public void proxyCountChanged(int proxies) {
        postRouterEvent(new Event.LiveProxyCountChanged(proxies));
    }

    @Override
    public void nodeSuspected(long node) {
        postRouterEvent(new Event.NodeSuspected(new NodeId(node)));
    }

    private void postRouterEvent(Event event) {
        eventQueue.postUrgent(new ProxyEvent.RouterEventRaised(event));
    }

    @Override
    public void probe(long node) {
        if (config.settings().attempts().mayCheckHealth()) {
            eventQueue.postUrgent(new ProxyEvent.HealthCheckRequested(new NodeId(node)));
        }
    }
}
