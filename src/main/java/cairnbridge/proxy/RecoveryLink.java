package cairnbridge.proxy;

import cairnbridge.config.ProxyConfig;
import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Settings;
import cairnbridge.fleet.FleetMember;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.RecoveryProgress;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.recovery.AdmissionDecision;
import cairnbridge.recovery.EndpointListHistory;
import cairnbridge.recovery.FleetSnapshot;
import cairnbridge.recovery.IncomingRequest;
import cairnbridge.recovery.RecoveryCoordinator;
import cairnbridge.recovery.RecoveryHost;
import cairnbridge.recovery.RecoveryPhase;
import cairnbridge.recovery.StateKeeper;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Logger;
import java.util.random.RandomGeneratorFactory;

/**
 * Between the proxy and its return after a loss of power: carries what happens to Recovery, which
 * decides, and what that asks for to others. The owner thread's, but for what others are told,
 * which any thread may read.
 */
final class RecoveryLink implements RecoveryHost {
    private static final Logger LOG = Logger.getLogger(RecoveryLink.class.getName());

    private final StateKeeper stateKeeper;
    private final EndpointListHistory endpointListHistory;
    private final DiscoveryWatch discoveryWatch;
    private final EventQueue eventQueue;
    private final RecoveryCoordinator coordinator;
    private final Settings settings;
    private volatile FleetMember fleetMember;
    private volatile RecoveryPhase phase = RecoveryPhase.AWAIT_MEMBERS;
    private volatile int originLimit;
    private volatile boolean endpointListConfirmed;
    private volatile List<String> statusLines = List.of();
    private volatile long failedAsUnknown;
    private volatile long rejected;

    RecoveryLink(
            ProxyConfig config,
            StateKeeper keeper,
            String me,
            String zone,
            EndpointListHistory book,
            DiscoveryWatch watch,
            EventQueue inbox,
            long now) {
        this.stateKeeper = keeper;
        this.endpointListHistory = book;
        this.discoveryWatch = watch;
        this.eventQueue = inbox;
        settings = config.settings();
        coordinator =
                new RecoveryCoordinator(
                        keeper.settings(),
                        keeper.restored(),
                        new RecoveryCoordinator.Deployment(
                                settings.categories(),
                                settings.proxy().count(),
                                settings.origin().machineKind(),
                                settings.attempts().mayCheckHealth(),
                                me,
                                zone),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed()),
                        now,
                        this);
        originLimit = coordinator.originLimit();
    }

    /** Before anything starts. */
    void setMember(FleetMember member) {
        fleetMember = member;
    }

    // The owner thread's.

    /** Whether the op goes on; one that does not has had its answer. */
    boolean admit(ClientExchange client, long expires, long now) {
        AdmissionDecision verdict =
                coordinator.admit(
                        new IncomingRequest(
                                client.requestId,
                                client.category,
                                client.key,
                                client.write,
                                client.clientRetry,
                                expires),
                        now);
        switch (verdict.kind()) {
            case REJECTED ->
                    client.rejectRetryable(
                            settings.clients().mayAdviseRetry()
                                    ? Math.min(
                                            settings.clients().maxRetryAfter(),
                                            verdict.retryAfter())
                                    : 0);
            case FAILED -> client.failPermanently();
            default -> {}
        }
        return verdict.kind() == AdmissionDecision.Kind.ADMITTED;
    }

    void attemptEnded(UpstreamAttempt call, AttemptOutcome ending, long took, long now) {
        coordinator.attemptEnded(call.exchange.requestId, call.node, ending, took, now);
    }

    void requestAnswered(ClientExchange client) {
        coordinator.requestAnswered(client.requestId);
    }

    void endpointListChanged(Event.EndpointListReceived roster, long now) {
        coordinator.endpointListChanged(roster, now);
        publishStatus(now);
    }

    /** Discovery has a list that is older than the floor; it is not in use. */
    void staleListReceived(long version, long now) {
        coordinator.staleListReceived(version, now);
        publishStatus(now);
    }

    void healthCheckCompleted(NodeId node, AttemptOutcome ending, long now) {
        coordinator.probeEnded(node, ending, now);
    }

    void fleetChanged(FleetSnapshot sight, long now) {
        coordinator.fleetChanged(sight, now);
        publishStatus(now);
    }

    void advance(long now) {
        coordinator.advance(now);
        publishStatus(now);
    }

    private void publishStatus(long now) {
        phase = coordinator.phase();
        originLimit = coordinator.originLimit();
        endpointListConfirmed = coordinator.isEndpointListConfirmed();
        statusLines = coordinator.status(now);
        failedAsUnknown = coordinator.failedAsUnknown();
        rejected = coordinator.rejected();
        discoveryWatch.setVersionFloor(coordinator.endpointListFloor());
    }

    // What Recovery asks for.

    @Override
    public void usePersistedList() {
        String kept = stateKeeper.restored().endpointList().json();
        if (!kept.isEmpty()) {
            discoveryWatch.usePersistedList(
                    EndpointListHistory.withStartTimes(kept, System.currentTimeMillis()));
        }
    }

    @Override
    public void requestEndpointList(String member) {
        fleetMember.requestEndpointList(
                new MemberId(member),
                answer -> {
                    if (answer.isPresent() && answer.get().length > 0) {
                        discoveryWatch.usePersistedList(
                                new String(answer.get(), StandardCharsets.UTF_8));
                    }
                });
    }

    @Override
    public void acceptStaleList() {
        discoveryWatch.setVersionFloor(0);
        discoveryWatch.refetch();
    }

    @Override
    public void probeOrigin() {
        coordinator
                .origin()
                .ifPresent(
                        origin ->
                                eventQueue.postUrgent(new ProxyEvent.HealthCheckRequested(origin)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    // What others are told; any thread.

    /** The fleet's thread sees the fleet; the owner thread is told. */
    void fleetChanged(MembershipView view) {
        stateKeeper.store().checkDisk();
        eventQueue.postUrgent(new ProxyEvent.FleetChanged(FleetSnapshot.of(view)));
    }

    RecoveryProgress progress(long epoch) {
        return new RecoveryProgress(
                phase.announced(),
                isOver() ? 0 : originLimit,
                Math.max(stateKeeper.restored().epochFloor(), epoch));
    }

    /** The list for a member that asks; a guess of one's own is not passed on. */
    byte[] confirmedEndpointList() {
        return endpointListConfirmed
                ? endpointListHistory.endpointList().getBytes(StandardCharsets.UTF_8)
                : new byte[0];
    }

    boolean isOver() {
        return phase == RecoveryPhase.SERVE_ALL;
    }

    String statusText() {
        StringBuilder all = new StringBuilder();
        statusLines.forEach(line -> all.append(line).append('\n'));
        stateKeeper
                .restored()
                .report()
                .forEach(line -> all.append("kept, ").append(line).append('\n'));
        all.append("disk ")
                .append(stateKeeper.store().isHealthy() ? "keeps" : "does not keep")
                .append('\n');
        return all.toString();
    }

    Map<String, Long> metrics() {
        Map<String, Long> gauges = new LinkedHashMap<>(stateKeeper.store().metrics().values());
        gauges.put("recovery.phase", (long) phase.metricValue());
        gauges.put("recovery.confirmed", endpointListConfirmed ? 1L : 0L);
        gauges.put("recovery.turned_away_total", rejected);
        gauges.put("recovery.hidden_total", failedAsUnknown);
        return gauges;
    }
}
