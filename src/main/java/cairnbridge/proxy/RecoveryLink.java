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
import cairnbridge.recovery.DurableState;
import cairnbridge.recovery.EndpointListAssembler;
import cairnbridge.recovery.FleetSnapshot;
import cairnbridge.recovery.IncomingRequest;
import cairnbridge.recovery.RecoveryCoordinator;
import cairnbridge.recovery.RecoveryHost;
import cairnbridge.recovery.RecoveryPhase;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.random.RandomGeneratorFactory;

/**
 * Connects the proxy to its {@link RecoveryCoordinator}: passes the proxy's events to it, and
 * carries out its requests. The methods of {@link RecoveryListener} and {@link RecoveryHost} are
 * called on the coordinator thread. Any thread may call the other methods; they read the latest
 * published status.
 */
final class RecoveryLink implements RecoveryHost, RecoveryListener, RecoveryStatus {
    private static final Logger LOG = Logger.getLogger(RecoveryLink.class.getName());

    /** The status of the recovery as other threads than the coordinator thread read it. */
    private record PublishedStatus(
            RecoveryPhase phase,
            int originLimit,
            boolean endpointListConfirmed,
            List<String> statusLines,
            long failedAsUnknown,
            long rejected) {}

    private final DurableState durableState;
    private final EndpointListAssembler endpointListAssembler;
    private final DiscoveryWatch discoveryWatch;
    private final EventQueue eventQueue;
    private final RecoveryCoordinator coordinator;
    private final Settings settings;

    /** Set before the proxy starts. */
    private volatile FleetMember fleetMember;

    private volatile PublishedStatus published;

    /**
     * Begins the recovery.
     *
     * @param member the name of this proxy's fleet member
     * @param zone the zone of that member
     */
    RecoveryLink(
            ProxyConfig config,
            DurableState durableState,
            String member,
            String zone,
            EndpointListAssembler endpointListAssembler,
            DiscoveryWatch discoveryWatch,
            EventQueue eventQueue,
            long nowTicks) {
        this.durableState = durableState;
        this.endpointListAssembler = endpointListAssembler;
        this.discoveryWatch = discoveryWatch;
        this.eventQueue = eventQueue;
        settings = config.settings();
        coordinator =
                new RecoveryCoordinator(
                        durableState.settings(),
                        durableState.restored(),
                        new RecoveryCoordinator.Deployment(
                                settings.categories(),
                                settings.proxy().count(),
                                settings.origin().machineKind(),
                                settings.attempts().mayCheckHealth(),
                                member,
                                zone),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed()),
                        nowTicks,
                        this);
        published =
                new PublishedStatus(
                        RecoveryPhase.AWAIT_MEMBERS,
                        coordinator.originLimit(),
                        false,
                        List.of(),
                        0,
                        0);
    }

    /** Sets the fleet member of this proxy; to be called before the proxy starts. */
    void setMember(FleetMember member) {
        fleetMember = member;
    }

    // Events for the recovery, on the coordinator thread.

    @Override
    public boolean admit(ClientExchange exchange, long deadlineTicks, long nowTicks) {
        AdmissionDecision decision =
                coordinator.admit(
                        new IncomingRequest(
                                exchange.requestId,
                                exchange.category,
                                exchange.key,
                                exchange.write,
                                exchange.clientRetry,
                                deadlineTicks),
                        nowTicks);
        switch (decision.kind()) {
            case REJECTED -> exchange.rejectRetryable(allowedRetryAfter(decision));
            case FAILED -> exchange.failPermanently();
            default -> {
                // The request coordinator answers an admitted request.
            }
        }
        return decision.kind() == AdmissionDecision.Kind.ADMITTED;
    }

    private long allowedRetryAfter(AdmissionDecision decision) {
        return settings.clients().mayAdviseRetry()
                ? Math.min(settings.clients().maxRetryAfter(), decision.retryAfter())
                : 0;
    }

    @Override
    public void attemptEnded(
            UpstreamAttempt attempt, AttemptOutcome outcome, long durationTicks, long nowTicks) {
        coordinator.attemptEnded(
                attempt.exchange.requestId, attempt.node, outcome, durationTicks, nowTicks);
    }

    @Override
    public void requestAnswered(ClientExchange exchange) {
        coordinator.requestAnswered(exchange.requestId);
    }

    @Override
    public void endpointListChanged(Event.EndpointListReceived list, long nowTicks) {
        coordinator.endpointListChanged(list, nowTicks);
        publishStatus(nowTicks);
    }

    @Override
    public void staleListReceived(long version, long nowTicks) {
        coordinator.staleListReceived(version, nowTicks);
        publishStatus(nowTicks);
    }

    @Override
    public void healthCheckCompleted(NodeId node, AttemptOutcome outcome, long nowTicks) {
        coordinator.probeEnded(node, outcome, nowTicks);
    }

    @Override
    public void fleetChanged(FleetSnapshot snapshot, long nowTicks) {
        coordinator.fleetChanged(snapshot, nowTicks);
        publishStatus(nowTicks);
    }

    @Override
    public void advance(long nowTicks) {
        coordinator.advance(nowTicks);
        publishStatus(nowTicks);
    }

    private void publishStatus(long nowTicks) {
        published =
                new PublishedStatus(
                        coordinator.phase(),
                        coordinator.originLimit(),
                        coordinator.isEndpointListConfirmed(),
                        coordinator.status(nowTicks),
                        coordinator.failedAsUnknown(),
                        coordinator.rejected());
        discoveryWatch.setVersionFloor(coordinator.endpointListFloor());
    }

    // Requests of the recovery, on the coordinator thread.

    @Override
    public void usePersistedList() {
        String json = durableState.restored().endpointList().json();
        if (!json.isEmpty()) {
            discoveryWatch.usePersistedList(
                    EndpointListAssembler.withStartTimes(json, System.currentTimeMillis()));
        }
    }

    @Override
    public void requestEndpointList(String member) {
        fleetMember.requestEndpointList(
                new MemberId(member),
                response -> {
                    if (response.isPresent() && response.get().length > 0) {
                        discoveryWatch.usePersistedList(
                                new String(response.get(), StandardCharsets.UTF_8));
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
        LOG.log(Level.INFO, "{0}", line);
    }

    // Status for the fleet and for operators, on any thread.

    /** Passes a membership view to the coordinator thread; called on the fleet's thread. */
    @Override
    public void fleetChanged(MembershipView view) {
        durableState.store().checkDisk();
        eventQueue.postUrgent(new ProxyEvent.FleetChanged(FleetSnapshot.of(view)));
    }

    @Override
    public RecoveryProgress progress(long planEpoch) {
        PublishedStatus status = published;
        return new RecoveryProgress(
                status.phase().announced(),
                isOver(status) ? 0 : status.originLimit(),
                Math.max(durableState.restored().epochFloor(), planEpoch));
    }

    /** Empty for a list that is not confirmed, so that other members do not get it. */
    @Override
    public byte[] confirmedEndpointList() {
        return published.endpointListConfirmed()
                ? endpointListAssembler.endpointList().getBytes(StandardCharsets.UTF_8)
                : new byte[0];
    }

    /** Whether the recovery has reached its last phase. */
    boolean isOver() {
        return isOver(published);
    }

    private static boolean isOver(PublishedStatus status) {
        return status.phase() == RecoveryPhase.SERVE_ALL;
    }

    /** The recovery's status for operators, as lines of text. */
    String statusText() {
        StringBuilder text = new StringBuilder();
        published.statusLines().forEach(line -> text.append(line).append('\n'));
        durableState
                .restored()
                .report()
                .forEach(line -> text.append("kept, ").append(line).append('\n'));
        text.append("disk ")
                .append(durableState.store().isHealthy() ? "keeps" : "does not keep")
                .append('\n');
        return text.toString();
    }

    /** The metrics of the recovery and of the state store. */
    Map<String, Long> metrics() {
        PublishedStatus status = published;
        Map<String, Long> metrics = new LinkedHashMap<>(durableState.store().metrics().values());
        metrics.put("recovery.phase", (long) status.phase().metricValue());
        metrics.put("recovery.confirmed", status.endpointListConfirmed() ? 1L : 0L);
        metrics.put("recovery.turned_away_total", status.rejected());
        metrics.put("recovery.hidden_total", status.failedAsUnknown());
        return metrics;
    }
}
