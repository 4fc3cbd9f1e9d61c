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
    private static final int CLIENTS_PART = 3;

    private final ZoneRouter.Counts placed = new ZoneRouter.Counts();
    private final Clock clock;
    private final ProxyConfig config;
    private final Listen listen;
    private final Decide decide;
    private final FleetLoadCounters tally;
    private final RosterWatch watch;
    private final Inbox inbox;

    /** Null where nothing is kept over a loss of power. */
    private final RecoveryLink recovery;

    private volatile FleetMember fleet;

    /** Whether plans over zones are on. */
    private volatile boolean zoned;

    FleetLink(
            ProxyConfig config,
            Clock clock,
            Listen listen,
            Decide decide,
            FleetLoadCounters tally,
            RosterWatch watch,
            Inbox inbox,
            RecoveryLink recovery) {
        this.clock = clock;
        this.tally = tally;
        this.recovery = recovery;
        this.config = config;
        this.listen = listen;
        this.decide = decide;
        this.watch = watch;
        this.inbox = inbox;
    }

    @Override
    public MemberMetadata.Lifecycle lifecycle() {
        return switch (listen.state()) {
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
                        decide.live(),
                        config.network().maxSockets() / CLIENTS_PART,
                        tally.requestsPerSecond(clock.now())),
                new MemberMetrics.EndpointListStatus(watch.version(), watch.isListing()),
                tally.reachability());
    }

    @Override
    public List<ListedNode> servers() {
        return watch.servers();
    }

    @Override
    public double slowStartFactor() {
        return config.settings().coldFrom();
    }

    @Override
    public long slowStartDuration() {
        return config.settings().warmUp();
    }

    @Override
    public void routeChanged(ZoneRouter.LocalRoute route) {
        zoned = true;
        ZoneRouter router =
                new ZoneRouter(
                        route,
                        config.names().zones(),
                        config.settings().categories(),
                        tally.requestsPerSecondByCategory(),
                        placed);
        inbox.first(new Notice.Hint(new Event.PlacementChanged(router)));
    }

    /** Before anything starts. */
    void of(FleetMember member) {
        fleet = member;
    }

    @Override
    public RecoveryProgress recoveryProgress() {
        FleetMember mine = fleet;
        return recovery == null
                ? RecoveryProgress.NONE
                : recovery.told(mine == null ? 0 : mine.planEpoch());
    }

    @Override
    public void viewPublished(MembershipView view) {
        if (zoned) {
            tally.nodesToProbe(clock.now()).forEach(node -> probe(node.value()));
        }
        if (recovery != null) {
            recovery.seen(view);
        }
    }

    @Override
    public byte[] endpointList() {
        return recovery == null ? new byte[0] : recovery.roster();
    }

    /** What plans have placed where, since the start. */
    Map<String, Long> gauges() {
        return Map.of(
                "zones.near_total",
                placed.local.sum(),
                "zones.far_total",
                placed.remote.sum(),
                "zones.shed_total",
                placed.shed.sum());
    }

    @Override
    public void proxyCountChanged(int proxies) {
        inbox.first(new Notice.Hint(new Event.LiveProxyCountChanged(proxies)));
    }

    @Override
    public void nodeSuspected(long node) {
        inbox.first(new Notice.Hint(new Event.NodeSuspected(new NodeId(node))));
    }

    @Override
    public void probe(long node) {
        if (config.settings().mayProbe()) {
            inbox.first(new Notice.Asked(new NodeId(node)));
        }
    }
}
