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

/** Between the proxy and its fleet: what this proxy tells, and what it is asked to do. */
final class FleetLink implements LocalProxy {
    /** From this part of its descriptors on a proxy closes its clients' connections. */
    private static final int CLIENT_SHARE_DIVISOR = 3;

    private final ZoneRouter.Counts placementCounts = new ZoneRouter.Counts();
    private final TickClock clock;
    private final ProxyConfig config;
    private final ListenerState listenerState;
    private final RequestCoordinator coordinator;
    private final FleetLoadCounters loadCounters;
    private final DiscoveryWatch discoveryWatch;
    private final EventQueue eventQueue;

    /** Null where nothing is kept over a loss of power. */
    private final RecoveryLink recoveryLink;

    private volatile FleetMember fleetMember;

    /** Whether plans over zones are on. */
    private volatile boolean zonePlansEnabled;

    FleetLink(
            ProxyConfig config,
            TickClock clock,
            ListenerState listen,
            RequestCoordinator decide,
            FleetLoadCounters tally,
            DiscoveryWatch watch,
            EventQueue inbox,
            RecoveryLink recovery) {
        this.clock = clock;
        this.loadCounters = tally;
        this.recoveryLink = recovery;
        this.config = config;
        this.listenerState = listen;
        this.coordinator = decide;
        this.discoveryWatch = watch;
        this.eventQueue = inbox;
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
    public List<ListedNode> servers() {
        return discoveryWatch.listedCaches();
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
        eventQueue.postUrgent(new ProxyEvent.RouterEventRaised(new Event.PlacementChanged(router)));
    }

    /** Before anything starts. */
    void setMember(FleetMember member) {
        fleetMember = member;
    }

    @Override
    public RecoveryProgress recoveryProgress() {
        FleetMember mine = fleetMember;
        return recoveryLink == null
                ? RecoveryProgress.NONE
                : recoveryLink.progress(mine == null ? 0 : mine.planEpoch());
    }

    @Override
    public void viewPublished(MembershipView view) {
        if (zonePlansEnabled) {
            loadCounters.nodesToProbe(clock.now()).forEach(node -> probe(node.value()));
        }
        if (recoveryLink != null) {
            recoveryLink.fleetChanged(view);
        }
    }

    @Override
    public byte[] endpointList() {
        return recoveryLink == null ? new byte[0] : recoveryLink.confirmedEndpointList();
    }

    /** What plans have placed where, since the start. */
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
        eventQueue.postUrgent(
                new ProxyEvent.RouterEventRaised(new Event.LiveProxyCountChanged(proxies)));
    }

    @Override
    public void nodeSuspected(long node) {
        eventQueue.postUrgent(
                new ProxyEvent.RouterEventRaised(new Event.NodeSuspected(new NodeId(node))));
    }

    @Override
    public void probe(long node) {
        if (config.settings().attempts().mayCheckHealth()) {
            eventQueue.postUrgent(new ProxyEvent.HealthCheckRequested(new NodeId(node)));
        }
    }
}
