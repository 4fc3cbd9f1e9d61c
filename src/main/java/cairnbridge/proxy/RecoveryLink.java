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

    private final StateKeeper keeper;
    private final EndpointListHistory book;
    private final RosterWatch watch;
    private final Inbox inbox;
    private final RecoveryCoordinator recovery;
    private final Settings settings;
    private volatile FleetMember fleet;
    private volatile RecoveryPhase phase = RecoveryPhase.AWAIT_MEMBERS;
    private volatile int pace;
    private volatile boolean confirmed;
    private volatile List<String> text = List.of();
    private volatile long hidden;
    private volatile long turnedAway;

    RecoveryLink(
            ProxyConfig config,
            StateKeeper keeper,
            String me,
            String zone,
            EndpointListHistory book,
            RosterWatch watch,
            Inbox inbox,
            long now) {
        this.keeper = keeper;
        this.book = book;
        this.watch = watch;
        this.inbox = inbox;
        settings = config.settings();
        recovery =
                new RecoveryCoordinator(
                        keeper.settings(),
                        keeper.restored(),
                        new RecoveryCoordinator.Deployment(
                                settings.categories(),
                                settings.proxies(),
                                settings.originKind(),
                                settings.mayProbe(),
                                me,
                                zone),
                        RandomGeneratorFactory.of("L64X128MixRandom").create(config.seed()),
                        now,
                        this);
        pace = recovery.originLimit();
    }

    /** Before anything starts. */
    void of(FleetMember member) {
        fleet = member;
    }

    // The owner thread's.

    /** Whether the op goes on; one that does not has had its answer. */
    boolean takes(Exchange client, long expires, long now) {
        AdmissionDecision verdict =
                recovery.admit(
                        new IncomingRequest(
                                client.op,
                                client.category,
                                client.key,
                                client.write,
                                client.repeat,
                                expires),
                        now);
        switch (verdict.kind()) {
            case REJECTED ->
                    client.nack(
                            settings.mayAdviseRetry()
                                    ? Math.min(settings.maxRetryAfter(), verdict.retryAfter())
                                    : 0);
            case FAILED -> client.deadLetter();
            default -> {}
        }
        return verdict.kind() == AdmissionDecision.Kind.ADMITTED;
    }

    void ended(PushCall call, AttemptOutcome ending, long took, long now) {
        recovery.attemptEnded(call.client.op, call.node, ending, took, now);
    }

    void answered(Exchange client) {
        recovery.requestAnswered(client.op);
    }

    void listed(Event.EndpointListReceived roster, long now) {
        recovery.endpointListChanged(roster, now);
        publish(now);
    }

    /** Discovery has a list that is older than the floor; it is not in use. */
    void older(long version, long now) {
        recovery.staleListReceived(version, now);
        publish(now);
    }

    void probed(NodeId node, AttemptOutcome ending, long now) {
        recovery.probeEnded(node, ending, now);
    }

    void seen(FleetSnapshot sight, long now) {
        recovery.fleetChanged(sight, now);
        publish(now);
    }

    void turn(long now) {
        recovery.advance(now);
        publish(now);
    }

    private void publish(long now) {
        phase = recovery.phase();
        pace = recovery.originLimit();
        confirmed = recovery.isEndpointListConfirmed();
        text = recovery.status(now);
        hidden = recovery.failedAsUnknown();
        turnedAway = recovery.rejected();
        watch.believesFrom(recovery.endpointListFloor());
    }

    // What Recovery asks for.

    @Override
    public void usePersistedList() {
        String kept = keeper.restored().endpointList().json();
        if (!kept.isEmpty()) {
            watch.guess(EndpointListHistory.withStartTimes(kept, System.currentTimeMillis()));
        }
    }

    @Override
    public void requestEndpointList(String member) {
        fleet.requestEndpointList(
                new MemberId(member),
                answer -> {
                    if (answer.isPresent() && answer.get().length > 0) {
                        watch.guess(new String(answer.get(), StandardCharsets.UTF_8));
                    }
                });
    }

    @Override
    public void acceptStaleList() {
        watch.believesFrom(0);
        watch.askAnew();
    }

    @Override
    public void probeOrigin() {
        recovery.origin().ifPresent(origin -> inbox.first(new Notice.Asked(origin)));
    }

    @Override
    public void log(String line) {
        LOG.info(line);
    }

    // What others are told; any thread.

    /** The fleet's thread sees the fleet; the owner thread is told. */
    void seen(MembershipView view) {
        keeper.store().checkDisk();
        inbox.first(new Notice.Seen(FleetSnapshot.of(view)));
    }

    RecoveryProgress told(long epoch) {
        return new RecoveryProgress(
                phase.announced(),
                isOver() ? 0 : pace,
                Math.max(keeper.restored().epochFloor(), epoch));
    }

    /** The list for a member that asks; a guess of one's own is not passed on. */
    byte[] roster() {
        return confirmed ? book.endpointList().getBytes(StandardCharsets.UTF_8) : new byte[0];
    }

    boolean isOver() {
        return phase == RecoveryPhase.SERVE_ALL;
    }

    String text() {
        StringBuilder all = new StringBuilder();
        text.forEach(line -> all.append(line).append('\n'));
        keeper.restored().report().forEach(line -> all.append("kept, ").append(line).append('\n'));
        all.append("disk ")
                .append(keeper.store().isHealthy() ? "keeps" : "does not keep")
                .append('\n');
        return all.toString();
    }

    Map<String, Long> gauges() {
        Map<String, Long> gauges = new LinkedHashMap<>(keeper.store().metrics().values());
        gauges.put("recovery.phase", (long) phase.metricValue());
        gauges.put("recovery.confirmed", confirmed ? 1L : 0L);
        gauges.put("recovery.turned_away_total", turnedAway);
        gauges.put("recovery.hidden_total", hidden);
        return gauges;
    }
}
