package cairnbridge.scale.control;

import cairnbridge.config.FleetConfig;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.LocalProxy;
import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.membership.SwimProtocol;
import cairnbridge.fleet.membership.SwimSettings;
import cairnbridge.fleet.transport.TransportSettings;
import cairnbridge.time.Ticks;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.routing.ZoneRouter;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;

/**
 * The real control part of a proxy, on loopback sockets, with a stub in place of clients, pool and
 * caches. A killed one may be started again under the same name, at another port.
 */
final class HollowProxy implements LocalProxy {
    private static final String CLUSTER = "scale";
    private static final byte[] SECRET =
            "a secret for measurements only".getBytes(StandardCharsets.UTF_8);
    private static final long BYTES_PER_SECOND = 60_000;
    private static final long PROBE_NODES_EVERY = 2 * Ticks.SECOND;
    private static final int MOST_LOAD = 1_000;
    private static final int LOAD_LIMIT = 6_000;
    private static final long FREEZE_WAIT_SECONDS = 5;

    private final MemberIdentity identity;
    private final HollowSettings settings;
    private final AtomicReference<ChangeWatch> watch;
    private final RandomGenerator chance;
    private final List<ListedNode> servers;
    private final AtomicLong probes = new AtomicLong();
    private volatile FleetMember fleet;
    private volatile Freeze freeze;
    private volatile boolean changingFigures;
    private volatile long carrierThread;

    /** The carrier's thread waits for an end while it is held. */
    private record Freeze(CountDownLatch held, CountDownLatch end) {}

    /** watch: the change that all members of a process look for; may hold null. */
    HollowProxy(
            MemberIdentity identity, HollowSettings settings, AtomicReference<ChangeWatch> watch) {
        this.identity = identity;
        this.settings = settings;
        this.watch = watch;
        chance =
                RandomGeneratorFactory.of("L64X128MixRandom")
                        .create(settings.seed() * 31 + identity.number());
        Zone zone = new Zone(identity.zone());
        servers =
                IntStream.range(0, settings.nodes())
                        .mapToObj(node -> new ListedNode(node + 1L, zone, true, 1, 0))
                        .toList();
    }

    /** Begins a life; seeds are asked at the join. */
    void start(long life, List<Endpoint> seeds) throws IOException {
        freeze = null;
        fleet =
                new FleetMember(
                        config(life, seeds),
                        settings.members(),
                        new FleetMember.Addresses("", ""),
                        chance.nextLong(),
                        FleetMember.PlanEpochs.NONE,
                        this);
        fleet.start();
    }

    private FleetConfig config(long life, List<Endpoint> seeds) {
        TransportSettings transport =
                new TransportSettings(
                        new TransportSettings.Identity(identity.id(), life),
                        new TransportSettings.Cluster(CLUSTER, SECRET),
                        new TransportSettings.Address(
                                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                                Optional.empty(),
                                Map.of()),
                        SwimProtocol.Contacts.seeds(seeds),
                        TransportSettings.NEWEST_PROTOCOL_VERSION,
                        BYTES_PER_SECOND);
        boolean checksNodes = settings.nodes() > 0;
        return new FleetConfig(
                transport,
                SwimSettings.DEFAULT,
                new FleetConfig.Location(identity.zone(), identity.region()),
                new FleetConfig.Uses(true, true, checksNodes, PROBE_NODES_EVERY, true),
                Optional.empty(),
                Optional.empty());
    }

    MemberIdentity identity() {
        return identity;
    }

    /** Where others reach it. */
    Endpoint at() {
        return fleet.endpoint();
    }

    MembershipView view() {
        return fleet.view();
    }

    /** The fleet's own gauges, by name. */
    Map<String, Long> gauges() {
        return fleet.metrics();
    }

    /** Turns to probe a cache node so far, over all lives. */
    long probes() {
        return probes.get();
    }

    /** The id of the carrier's thread; 0 before its first turn. */
    long carrierThread() {
        return carrierThread;
    }

    /** How many words on members it has still to pass on. */
    int rumoursWaiting() {
        return fleet.view().statistics().pendingUpdates();
    }

    /** From now on load and rate change all the time. */
    void changeFigures() {
        changingFigures = true;
    }

    /** Ends without a word. */
    void kill() {
        fleet.stop();
    }

    /** Takes its leave and ends. */
    void leave() throws InterruptedException {
        fleet.leave();
    }

    /** Holds the carrier's thread; returns once it stands still. */
    void freeze() throws InterruptedException {
        Freeze begun = new Freeze(new CountDownLatch(1), new CountDownLatch(1));
        freeze = begun;
        if (!begun.held().await(FREEZE_WAIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(identity.id() + " did not stand still");
        }
    }

    /** Lets the carrier's thread go on. */
    void thaw() {
        Freeze held = freeze;
        freeze = null;
        held.end().countDown();
    }

    @Override
    public void viewPublished(MembershipView view) {
        carrierThread = Thread.currentThread().getId();
        Freeze asked = freeze;
        if (asked != null) {
            asked.held().countDown();
            try {
                asked.end().await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return;
        }
        ChangeWatch current = watch.get();
        if (current != null) {
            current.look(view);
        }
    }

    @Override
    public MemberMetadata.Lifecycle lifecycle() {
        return MemberMetadata.Lifecycle.SERVING;
    }

    @Override
    public MemberMetrics metrics() {
        long load = changingFigures ? chance.nextInt(MOST_LOAD) : 0;
        long rate = changingFigures ? chance.nextInt(MOST_LOAD) : 0;
        return new MemberMetrics(
                new MemberMetrics.Load(load, LOAD_LIMIT, rate),
                new MemberMetrics.EndpointListStatus(1, false),
                MemberMetrics.Reachability.ALL);
    }

    @Override
    public List<ListedNode> listedNodes() {
        return servers;
    }

    @Override
    public double slowStartFactor() {
        return 1;
    }

    @Override
    public long slowStartDuration() {
        return 0;
    }

    @Override
    public void routeChanged(ZoneRouter.LocalRoute route) {
        // Plans over zones are off.
    }

    @Override
    public void proxyCountChanged(int proxies) {
        // There is no limit to be shared out.
    }

    @Override
    public void nodeSuspected(long node) {
        // There is no pool that would use it.
    }

    @Override
    public RecoveryProgress recoveryProgress() {
        return RecoveryProgress.NONE;
    }

    @Override
    public byte[] endpointList() {
        return new byte[0];
    }

    @Override
    public void probe(long node) {
        probes.incrementAndGet();
    }
}
