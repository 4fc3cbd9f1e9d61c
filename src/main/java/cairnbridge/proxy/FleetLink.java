package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.ZoneId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.Fleet;
import cairnbridge.fleet.FleetProxy;
import cairnbridge.fleet.member.Recovering;
import cairnbridge.fleet.member.Told;
import cairnbridge.fleet.view.View;
import cairnbridge.zones.plan.Row;
import cairnbridge.zones.plan.Server;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.use.ShedByBenefit;
import cairnbridge.zones.use.ZonePlacement;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Between the proxy and its fleet: what this proxy tells, and what it is asked to do. */
final class FleetLink implements FleetProxy {
    /** From this part of its descriptors on a proxy closes its clients' connections. */
    private static final int CLIENTS_PART = 3;
    private static final double LEAST_SECONDS = 0.5, SMOOTH_SECONDS = 2;
    private final ZonePlacement.Counts placed = new ZonePlacement.Counts();
    private final double[] lately;
    private final long[] counted;
    private long ratedAt = System.nanoTime();
    private final ProxyConfig config;
    private final Listen listen;
    private final Decide decide;
    private final FleetTally tally;
    private final RosterWatch watch;
    private final Inbox inbox;

    /** Null where nothing is kept over a loss of power. */
    private final RecoveryLink recovery;
    private volatile Fleet fleet;

    FleetLink(ProxyConfig config, Listen listen, Decide decide, FleetTally tally, RosterWatch watch,
            Inbox inbox, RecoveryLink recovery) {
        this.tally = tally;
        this.recovery = recovery;
        this.config = config;
        this.listen = listen;
        this.decide = decide;
        this.watch = watch;
        this.inbox = inbox;
        lately = new double[config.settings().categories().size()];
        counted = new long[lately.length];
    }

    @Override
    public Told.State state() {
        return switch (listen.state()) {
            case STARTING -> Told.State.STARTING;
            case SERVING -> Told.State.SERVING;
            case STANDBY -> Told.State.STANDBY;
            case DRAINING -> Told.State.DRAINING;
        };
    }

    @Override
    public Told.Figures figures() {
        return new Told.Figures(decide.live(), config.sockets() / CLIENTS_PART, rate(), watch.version(),
                watch.isListing(), tally.unreachable(), tally.zones());
    }

    /** Ops taken a second, as of the last half second or more; smoothed. */
    private synchronized long rate() {
        long now = System.nanoTime();
        double seconds = (now - ratedAt) / 1e9;
        if (seconds >= LEAST_SECONDS) {
            double[] fresh = new double[lately.length];
            for (int i = 0; i < fresh.length; i++) {
                long all = tally.taken(i);
                fresh[i] = (all - counted[i]) / seconds;
                counted[i] = all;
                lately[i] += (fresh[i] - lately[i]) * Math.min(1, seconds / SMOOTH_SECONDS);
            }
            ratedAt = now;
        }
        double sum = 0;
        for (double each : lately) {
            sum += each;
        }
        return Math.round(sum);
    }

    @Override
    public List<Server> servers() {
        return watch.servers();
    }

    @Override
    public double coldFrom() {
        return config.settings().coldFrom();
    }

    @Override
    public long warmUp() {
        return config.settings().warmUp();
    }

    @Override
    public void placed(Zone home, Row row, Set<Zone> out, double alonePart) {
        double[] mix;
        synchronized (this) {
            mix = lately.clone();
        }
        List<Settings.Category> categories = config.settings().categories();
        Function<Zone, ZoneId> ids = zone -> {
            int at = config.zones().indexOf(zone.name());
            return at < 0 ? null : new ZoneId(at);
        };
        inbox.first(new Notice.Hint(new Event.Placed(new ZonePlacement(home, row, ids, out, alonePart,
                ShedByBenefit.parts(categories, mix, (double) row.shed() / Row.ALL), placed))));
    }

    /** Before anything starts. */
    void of(Fleet member) {
        fleet = member;
    }

    @Override
    public Recovering recovering() {
        Fleet mine = fleet;
        return recovery == null ? Recovering.NOT : recovery.told(mine == null ? 0 : mine.epoch());
    }

    @Override
    public void seen(View view) {
        if (recovery != null) {
            recovery.seen(view);
        }
    }

    @Override
    public byte[] roster() {
        return recovery == null ? new byte[0] : recovery.roster();
    }

    /** What plans have placed where, since the start. */
    Map<String, Long> gauges() {
        return Map.of("zones.near_total", placed.near.sum(), "zones.far_total", placed.far.sum(),
                "zones.shed_total", placed.shed.sum());
    }

    @Override
    public void lives(int proxies) {
        inbox.first(new Notice.Hint(new Event.Proxies(proxies)));
    }

    @Override
    public void doubts(long node) {
        inbox.first(new Notice.Hint(new Event.Doubted(new NodeId(node))));
    }

    @Override
    public void probe(long node) {
        if (config.settings().mayProbe()) {
            inbox.first(new Notice.Asked(new NodeId(node)));
        }
    }
}
