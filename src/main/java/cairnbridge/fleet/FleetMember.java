package cairnbridge.fleet;

import cairnbridge.config.FleetConfig;
import cairnbridge.fleet.coordination.DiscoveryPolling;
import cairnbridge.fleet.coordination.LiveProxyCount;
import cairnbridge.fleet.coordination.NodeSuspicions;
import cairnbridge.fleet.coordination.TaskAssignment;
import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipHost.StatusChangeReason;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.fleet.transport.GossipTransport;
import cairnbridge.time.Ticks;
import cairnbridge.zones.ZoneMember;
import cairnbridge.zones.plan.ListedNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.logging.Logger;

/**
 * One proxy as a member of its fleet. Start it once. For a planned shutdown call {@link #leave},
 * which announces it to the fleet; otherwise call {@link #stop}.
 */
public final class FleetMember {
    private static final Logger LOG = Logger.getLogger(FleetMember.class.getName());
    private static final String THREAD = "fleet";

    /** The topic under which members ask one another for the endpoint list. */
    private static final String ENDPOINT_LIST_TOPIC = "recovery-roster";

    private static final byte[] NO_ANSWER = {};

    private final FleetConfig config;
    private final LocalProxy proxy;
    private final Addresses addresses;
    private final GossipTransport transport;
    private final LiveProxyCount proxyCount;
    private final NodeSuspicions suspicions;
    private final TaskAssignment healthChecks;
    private final DiscoveryPolling polling;
    private final MembershipChangeLog changeLog = new MembershipChangeLog(LOG::info);
    private final Optional<ZoneMember> zones;

    /**
     * Guards against a member that after a power loss announces an epoch behind the one that it had
     * confirmed.
     */
    private final long epochFloor;

    private volatile int quotaDivisor;

    /**
     * The addresses that the proxy announces.
     *
     * @param clients the address for clients
     * @param admin the address of the admin endpoint; empty if there is none
     */
    public record Addresses(String clients, String admin) {}

    /**
     * The persisted epoch of zone plans, and how to persist a later one.
     *
     * @param floor the highest epoch that was persisted
     * @param persist persists an epoch; the result is false if that fails
     */
    public record PlanEpochs(long floor, LongFunction<CompletableFuture<Boolean>> persist) {
        /** No epoch was persisted; persisting one succeeds without effect. */
        public static final PlanEpochs NONE =
                new PlanEpochs(0, epoch -> CompletableFuture.completedFuture(true));
    }

    /**
     * Binds the member's sockets.
     *
     * @param configuredProxies the configured number of proxies
     * @param seed the seed of all random choices
     * @throws IOException if the address is not available, which the message names, or if the
     *     persisted state of a voter cannot be read
     */
    public FleetMember(
            FleetConfig config,
            int configuredProxies,
            Addresses addresses,
            long seed,
            PlanEpochs epochs,
            LocalProxy proxy)
            throws IOException {
        this.config = config;
        this.proxy = proxy;
        this.addresses = addresses;
        MemberId self = config.transport().identity().id();
        String zone = config.location().zone();
        proxyCount = new LiveProxyCount(configuredProxies, Ticks.now());
        quotaDivisor = configuredProxies;
        epochFloor = epochs.floor();
        suspicions = new NodeSuspicions(zone);
        healthChecks = new TaskAssignment(self, zone, config.uses().healthCheckInterval());
        polling = new DiscoveryPolling(self, zone);
        zones = zoneMember(seed, epochs);
        transport =
                new GossipTransport(
                        config.transport(),
                        config.membership(),
                        metadata(),
                        seed,
                        new TransportListener());
        zones.ifPresent(member -> member.useTransport(transport));
    }

    private Optional<ZoneMember> zoneMember(long seed, PlanEpochs epochs) throws IOException {
        if (config.zones().isEmpty()) {
            return Optional.empty();
        }
        ZoneMember.Identity identity =
                new ZoneMember.Identity(
                        config.transport().identity().id(), config.location().zone());
        ZoneMember.EpochStore epochStore =
                new ZoneMember.EpochStore(epochs.floor(), epochs.persist());
        return Optional.of(
                new ZoneMember(identity, config.zones().get(), seed, proxy, epochStore, LOG::info));
    }

    /** Starts the transport's thread. */
    public void start() {
        Thread thread = new Thread(transport, THREAD);
        thread.setDaemon(true);
        thread.start();
        LOG.info(
                "fleet: "
                        + config.transport().identity().id()
                        + " is at "
                        + transport.endpoint()
                        + " in cluster "
                        + config.transport().cluster().name());
    }

    /** The endpoint at which other members reach this one. */
    public Endpoint endpoint() {
        return transport.endpoint();
    }

    /** Announces that this member leaves, and stops. */
    public void leave() throws InterruptedException {
        transport.leave();
    }

    /** Stops without an announcement; other members then detect a failure. */
    public void stop() {
        transport.stop();
    }

    private MemberMetadata metadata() {
        return MemberMetadata.builder()
                .location(config.location().zone(), config.location().region())
                .protocolVersion(config.transport().protocolVersion())
                .lifecycle(proxy.lifecycle())
                .clientAddress(addresses.clients())
                .adminAddress(addresses.admin())
                .planEpoch(zones.map(member -> Math.max(epochFloor, member.planEpoch())).orElse(0L))
                .recovery(proxy.recoveryProgress())
                .metrics(proxy.metrics())
                .build();
    }

    /**
     * Handles membership changes, published views and application messages, on the transport's
     * thread.
     */
    private final class TransportListener implements GossipTransport.Listener {
        @Override
        public void memberChanged(
                MemberState before, MemberState after, StatusChangeReason reason) {
            changeLog.statusChanged(before, after, reason, Ticks.now());
        }

        @Override
        public void viewPublished(MembershipView view) {
            long now = Ticks.now();
            changeLog.reportSuppressed(now);
            proxy.viewPublished(view);
            transport.updateMetadata(metadata());
            if (config.uses().quotasFollowFleet()) {
                updateQuotas(view, now);
            }
            if (config.uses().suspectsNodes()) {
                suspicions.newSuspicions(view).forEach(node -> suspect(node, now));
            }
            zones.ifPresent(member -> member.viewPublished(view, now));
            if (config.uses().sharesHealthChecks()) {
                List<Long> nodes = proxy.listedNodes().stream().map(ListedNode::id).toList();
                healthChecks.dueTasks(view, nodes, now).forEach(proxy::probe);
            }
        }

        private void updateQuotas(MembershipView view, long now) {
            int count = proxyCount.update(view, now);
            if (count != quotaDivisor) {
                quotaDivisor = count;
                proxy.proxyCountChanged(count);
            }
        }

        private void suspect(long node, long now) {
            changeLog.log(
                    "most of zone "
                            + config.location().zone()
                            + " cannot reach node "
                            + Long.toHexString(node),
                    now);
            proxy.nodeSuspected(node);
        }

        @Override
        public void messageReceived(
                MemberId sender, String topic, byte[] payload, Consumer<byte[]> answer) {
            if (topic.equals(ENDPOINT_LIST_TOPIC)) {
                answer.accept(proxy.endpointList());
            } else if (zones.isPresent()) {
                zones.get().messageReceived(topic, payload, answer);
            } else {
                answer.accept(NO_ANSWER);
            }
        }

        @Override
        public void log(String message) {
            changeLog.log(message, Ticks.now());
        }
    }

    // Methods for any thread.

    /**
     * Asks a member for its endpoint list.
     *
     * @param callback receives the answer on the transport's thread, empty if there is none
     */
    public void requestEndpointList(MemberId member, Consumer<Optional<byte[]>> callback) {
        transport.execute(
                () -> {
                    Optional<MemberState> state = transport.view().stateOf(member);
                    if (state.isEmpty()) {
                        callback.accept(Optional.empty());
                        return;
                    }
                    transport.call(
                            state.get().endpoint(), ENDPOINT_LIST_TOPIC, NO_ANSWER, callback);
                });
    }

    /** The epoch of the zone plan that is in force here, 0 without zone plans. */
    public long planEpoch() {
        return zones.map(ZoneMember::planEpoch).orElse(0L);
    }

    /** The zone plan that is in force here, encoded; empty without zone plans. */
    public byte[] encodedPlan() {
        return zones.map(ZoneMember::encodedPlan).orElse(NO_ANSWER);
    }

    /** Runs an operator's command on zones; empty without zone plans. */
    public Optional<CompletableFuture<String>> zoneCommand(String command) {
        return zones.map(member -> member.execute(command));
    }

    /**
     * Whether this member may poll a discovery service that does not answer.
     *
     * @param sinceLastPollMillis the time since its last poll
     */
    public boolean mayPollDiscovery(long sinceLastPollMillis) {
        return !config.uses().sharesDiscoveryPolls()
                || polling.mayPoll(transport.view(), sinceLastPollMillis);
    }

    /** The view that was published last. */
    public MembershipView view() {
        return transport.view();
    }

    /**
     * Answers an operator's query about members.
     *
     * @param call {@code members}, {@code members-json} or {@code member}
     * @param id the name of the member that {@code member} is about
     * @return empty if there is no such member
     */
    public Optional<String> status(String call, String id) {
        MembershipView view = transport.view();
        if (call.equals("members")) {
            return Optional.of(FleetStatusFormatter.membersTable(view) + "EOF");
        }
        if (call.equals("members-json")) {
            return Optional.of(FleetStatusFormatter.toJson(view));
        }
        return MemberId.isValidName(id)
                ? view.stateOf(new MemberId(id)).map(FleetStatusFormatter::toJson)
                : Optional.empty();
    }

    /** The values of all metrics of the fleet, by name. */
    public Map<String, Long> metrics() {
        return FleetStatusFormatter.metrics(transport.view(), transport.metrics(), quotaDivisor);
    }
}
