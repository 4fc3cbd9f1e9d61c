package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.transport.GossipTransport;
import cairnbridge.store.FileStorageDirectory;
import cairnbridge.time.Ticks;
import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.consensus.AcceptorStateFile;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.PlanCodec;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneHealth;
import cairnbridge.zones.routing.ZoneRouter;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.random.RandomGeneratorFactory;

/**
 * Connects the {@link ZonePlanCoordinator} of one member with its transport, disk and proxy.
 * Methods must be called on the transport's thread unless their comment allows any thread.
 */
public final class ZoneMember {
    private static final String DISK_THREAD_NAME = "votes";
    private static final long ROUTE_UPDATE_INTERVAL = Ticks.SECOND;
    private static final String COMMAND_PREFIX = "zone-";

    private final Zone home;
    private final ZoneSettings config;
    private final ZoneProxy proxy;
    private final Consumer<String> log;
    private final ZonePlanCoordinator coordinator;
    private final Optional<AcceptorStateFile> acceptorFile;
    private final EpochStore epochStore;

    /** Performs blocking disk writes, so that the transport's thread does not wait for the disk. */
    private final ExecutorService diskExecutor =
            Executors.newSingleThreadExecutor(
                    task -> {
                        Thread thread = new Thread(task, DISK_THREAD_NAME);
                        thread.setDaemon(true);
                        return thread;
                    });

    private GossipTransport transport;
    private MembershipView view;
    private long routeUpdatedAt;
    private volatile long planEpoch;
    private volatile Plan plan = Plan.EMPTY;

    /**
     * The name and the zone of this member.
     *
     * @param zone the name of the zone that the member runs in
     */
    public record Identity(MemberId id, String zone) {}

    /**
     * Persists the epochs of plans, so that they never decrease after a power loss.
     *
     * @param floor the highest epoch that was persisted before this start
     * @param persist persists an epoch before it is announced; the result is false if the write
     *     fails
     */
    public record EpochStore(long floor, LongFunction<CompletableFuture<Boolean>> persist) {}

    /**
     * Creates a member without a transport, which {@link #useTransport} sets.
     *
     * @throws IOException if this member is a voter and its persisted state cannot be read
     */
    public ZoneMember(
            Identity identity,
            ZoneSettings config,
            long seed,
            ZoneProxy proxy,
            EpochStore epochStore,
            Consumer<String> log)
            throws IOException {
        this.config = config;
        this.proxy = proxy;
        this.epochStore = epochStore;
        this.log = log;
        home = new Zone(identity.zone());
        acceptorFile =
                config.isVoter(identity.id())
                        ? Optional.of(acceptorFile(config.stateFile()))
                        : Optional.empty();
        AcceptorState persisted =
                acceptorFile.isPresent() ? acceptorFile.get().read() : AcceptorState.EMPTY;
        coordinator =
                new ZonePlanCoordinator(
                        identity.id(),
                        config,
                        new ZoneHealth.NodeRates(
                                config.nodeRequestsPerSecond(),
                                proxy.slowStartFactor(),
                                proxy.slowStartDuration(),
                                config.regions()),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(seed),
                        epochStore.floor(),
                        persisted,
                        new Host());
    }

    private static AcceptorStateFile acceptorFile(Path path) {
        Path file = path.toAbsolutePath();
        return new AcceptorStateFile(
                new FileStorageDirectory(file.getParent()), file.getFileName().toString());
    }

    /** Sets the transport. Must be called before the transport's thread starts. */
    public void useTransport(GossipTransport newTransport) {
        transport = newTransport;
    }

    /**
     * The highest epoch in force here that is persisted and may be announced. Any thread may call
     * this.
     */
    public long planEpoch() {
        return planEpoch;
    }

    /** The plan that is in force here, encoded. Any thread may call this. */
    public byte[] encodedPlan() {
        return PlanCodec.encode(plan);
    }

    /**
     * Passes a new membership view to the coordinator and updates the proxy's route at most once a
     * second.
     */
    public void viewPublished(MembershipView newView, long now) {
        view = newView;
        coordinator.viewPublished(newView, now, System.currentTimeMillis());
        // The reachable zones and the request rates of this proxy also change between plans.
        if (now - routeUpdatedAt >= ROUTE_UPDATE_INTERVAL) {
            routeUpdatedAt = now;
            updateRoute(coordinator.plan());
        }
    }

    /** Handles a message of another member; the answer is passed on the transport's thread. */
    public void messageReceived(String topic, byte[] payload, Consumer<byte[]> answer) {
        coordinator.messageReceived(topic, payload, answer);
    }

    /**
     * Runs an operator's command: {@code zones}, {@code zone-drain ZONE SECONDS} or {@code
     * zone-restore ZONE}. Any thread may call this.
     */
    public CompletableFuture<String> execute(String command) {
        CompletableFuture<String> answer = new CompletableFuture<>();
        transport.execute(() -> answer.complete(executeNow(command)));
        return answer;
    }

    private String executeNow(String command) {
        if (command.split(" +", 2)[0].equals("zones")) {
            return coordinator.status() + "EOF";
        }
        return coordinator.execute(command.substring(COMMAND_PREFIX.length()));
    }

    private void updateRoute(Plan current) {
        MemberMetrics.Reachability reachability = proxy.reachability();
        Set<Zone> unreachable =
                ZoneRouter.unreachableZones(
                        proxy.listedNodes(),
                        reachability.unreachableNodes(),
                        reachability.unreachableZones());
        proxy.routeChanged(
                new ZoneRouter.LocalRoute(
                        home, current.routeOf(home), unreachable, config.reroutedShare()));
    }

    /** Gives the coordinator access to the transport, the disk and the proxy. */
    private final class Host implements ZonePlanHost {
        @Override
        public void call(
                MemberId to, String topic, byte[] payload, Consumer<Optional<byte[]>> callback) {
            Optional<MemberState> member = view.stateOf(to);
            if (member.isEmpty()) {
                callback.accept(Optional.empty());
            } else {
                transport.call(member.get().endpoint(), topic, payload, callback);
            }
        }

        @Override
        public void persist(AcceptorState state, Consumer<Optional<String>> callback) {
            diskExecutor.execute(
                    () -> {
                        Optional<String> fault = write(state);
                        transport.execute(() -> callback.accept(fault));
                    });
        }

        /** Writes the state; returns the error, or empty on success. */
        private Optional<String> write(AcceptorState state) {
            try {
                acceptorFile.orElseThrow().write(state);
                return Optional.empty();
            } catch (IOException e) {
                return Optional.of(e.toString());
            }
        }

        @Override
        public List<ListedNode> listedNodes() {
            return proxy.listedNodes();
        }

        @Override
        public void planChanged(Plan newPlan) {
            plan = newPlan;
            // The epoch is announced only once it is persisted: guards against a member that
            // restarts with a lower epoch than it has confirmed.
            CompletableFuture<Void> unused =
                    epochStore
                            .persist()
                            .apply(newPlan.epoch())
                            .thenAccept(
                                    persisted -> {
                                        if (persisted) {
                                            planEpoch = Math.max(planEpoch, newPlan.epoch());
                                        }
                                    });
            updateRoute(newPlan);
        }

        @Override
        public void log(String message) {
            log.accept(message);
        }
    }
}
