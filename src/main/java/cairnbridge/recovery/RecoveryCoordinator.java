package cairnbridge.recovery;

import cairnbridge.decision.Event;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Event.ListScope;
import cairnbridge.decision.Ids.MachineKind;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.time.Ticks;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * One proxy's recovery from a power loss. It is told what happens, asked about each new request,
 * and advanced now and then. A proxy that meets a fleet which never lost power goes to the last
 * phase as soon as its endpoint list is confirmed.
 */
public final class RecoveryCoordinator {
    /** The persisted list is used if discovery has sent none within this time. */
    private static final long PERSISTED_LIST_DELAY = Ticks.SECOND;

    /** Between two requests for a member's list, and between two probes of the origin. */
    private static final long REQUEST_INTERVAL = Ticks.SECOND / 2;

    /** Writes are served alone for this long. */
    private static final long WRITES_ONLY_TIME = Ticks.SECOND / 4;

    /** Recovery is over once nothing was held back for so long, ... */
    private static final long UNTHROTTLED_TIME = 2 * Ticks.SECOND;

    /** ... while this many requests came. */
    private static final int MIN_UNTHROTTLED_REQUESTS = 50;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * What recovery knows of the deployment and of this proxy.
     *
     * @param categories the classes of requests
     * @param proxies the configured number of proxies, which counts if fewer are remembered
     * @param originKind the machine kind of the origin
     * @param mayProbe whether health checks are allowed
     * @param member the name of this member
     * @param zone its zone
     */
    public record Deployment(
            List<Category> categories,
            int proxies,
            MachineKind originKind,
            boolean mayProbe,
            String member,
            String zone) {
        private long shortestLatencyObjective() {
            return categories.stream().mapToLong(Category::latencyObjective).min().orElse(0);
        }
    }

    private final RecoverySettings settings;
    private final RecoveryHost host;
    private final Deployment deployment;
    private final int expectedMembers;
    private final EndpointListConfirmation endpointList;
    private final UnknownOutcomes unknownOutcomes;
    private final NodeStartTimes nodes;
    private final OriginConcurrencyLimit originLimit;
    private final RecoveryAdmission admission;
    private final long startedAt;
    private RecoveryPhase phase = RecoveryPhase.AWAIT_MEMBERS;
    private Optional<FleetSnapshot> fleet = Optional.empty();
    private boolean persistedListUsed;
    private boolean fleetHasFullState;
    private boolean originAnswered;
    private long phaseSince;
    private long listRequestedAt = NEVER;
    private long probedAt = NEVER;

    /** Recovery that begins now. */
    public RecoveryCoordinator(
            RecoverySettings settings,
            RestoredState restored,
            Deployment deployment,
            RandomGenerator random,
            long now,
            RecoveryHost host) {
        this.settings = settings;
        this.host = host;
        this.deployment = deployment;
        expectedMembers = Math.max(restored.livePeers() + 1, deployment.proxies());
        endpointList =
                new EndpointListConfirmation(
                        restored.endpointList().version(),
                        expectedMembers,
                        settings.quorumTimeout());
        unknownOutcomes = new UnknownOutcomes(now);
        nodes = new NodeStartTimes(deployment.originKind());
        originLimit =
                new OriginConcurrencyLimit(
                        settings.initialOriginLimit() / Math.max(1, expectedMembers),
                        deployment.shortestLatencyObjective() / 2);
        admission =
                new RecoveryAdmission(
                        deployment.categories(), deployment.member(), originLimit, random);
        startedAt = now;
        phaseSince = now;
        admission.phaseBegan(now);
    }

    // What happens.

    /** The view of the fleet has changed. */
    public void fleetChanged(FleetSnapshot snapshot, long now) {
        fleet = Optional.of(snapshot);
        endpointList.fleetChanged(snapshot);
        admission.zoneMembersChanged(servingMembersOfZone(snapshot));
        List<Integer> limits =
                snapshot.peers().stream()
                        .filter(FleetSnapshot.Peer::isRecovering)
                        .map(FleetSnapshot.Peer::originLimit)
                        .toList();
        long readsSince = phase == RecoveryPhase.SERVE_READS ? now - phaseSince : 0;
        originLimit.peersChanged(limits, readsSince);
        advance(now);
    }

    private List<String> servingMembersOfZone(FleetSnapshot snapshot) {
        List<String> members = new ArrayList<>(List.of(deployment.member()));
        snapshot.peers().stream()
                .filter(peer -> peer.isServing() && peer.zone().equals(deployment.zone()))
                .forEach(peer -> members.add(peer.id()));
        return members;
    }

    /** An endpoint list is in use: discovery's or, if its scope is CACHED, another one. */
    public void endpointListChanged(Event.EndpointListReceived list, long now) {
        nodes.endpointListChanged(list);
        if (list.scope() == ListScope.CACHED) {
            unconfirmedListUsed(list.version(), nodes.latestStart(), now);
        } else if (list.scope() != ListScope.FAILED) {
            listReceived(list.version(), nodes.latestStart(), now);
        }
    }

    /** Discovery has sent a list that is older than the floor; it is not in use. */
    public void staleListReceived(long version, long now) {
        listReceived(version, nodes.latestStart(), now);
    }

    /** A list that did not come from discovery is in use. */
    void unconfirmedListUsed(long version, long newestNodeStart, long now) {
        endpointList.unconfirmedListUsed(version);
        unknownOutcomes.setNewestNodeStart(newestNodeStart);
        fleet.ifPresent(endpointList::fleetChanged);
        advance(now);
    }

    /** Discovery has sent its list. */
    void listReceived(long version, long newestNodeStart, long now) {
        if (endpointList.listReceived(version, now)) {
            unknownOutcomes.setNewestNodeStart(newestNodeStart);
        }
        advance(now);
    }

    /** Lists of discovery's below this version are older than what was known before the loss. */
    public long endpointListFloor() {
        return endpointList.versionFloor();
    }

    /** A health check has ended. */
    public void probeEnded(NodeId node, AttemptOutcome ending, long now) {
        if (nodes.isOrigin(node)) {
            // An error is an answer as well: the origin runs.
            originProbed(ending == AttemptOutcome.SUCCESS || ending == AttemptOutcome.ERROR, now);
        }
    }

    /** The health of the origin was checked. */
    void originProbed(boolean answered, long now) {
        originAnswered |= answered;
        advance(now);
    }

    // The order of phases.

    /** Goes on to further phases if what they waited for has happened. */
    public void advance(long now) {
        if (endpointList.acceptStaleIfDue(now)) {
            host.log(
                    "recovery: discovery's list is older than the one before the loss and is taken"
                            + " now");
            host.acceptStaleList();
        }
        RecoveryPhase before;
        do {
            before = phase;
            advanceOnce(now);
        } while (phase != before);
        boolean overdue = now - startedAt >= settings.maxDuration();
        if (phase != RecoveryPhase.SERVE_ALL && overdue && endpointList.hasList()) {
            enter(
                    RecoveryPhase.SERVE_ALL,
                    "it took " + Ticks.toSeconds(now - startedAt) + " s",
                    now);
        }
    }

    private void advanceOnce(long now) {
        switch (phase) {
            case AWAIT_MEMBERS -> awaitMembers(now);
            case AWAIT_ENDPOINT_LIST -> awaitEndpointList(now);
            case AWAIT_ORIGIN -> awaitOrigin(now);
            case SERVE_WRITES -> {
                if (now - phaseSince >= WRITES_ONLY_TIME) {
                    enter(RecoveryPhase.SERVE_READS, "writes had their start", now);
                }
            }
            case SERVE_READS -> {
                boolean calm =
                        now - phaseSince >= UNTHROTTLED_TIME
                                && admission.isUnthrottledFor(UNTHROTTLED_TIME, now);
                if (calm && admission.requestsInPhase() >= MIN_UNTHROTTLED_REQUESTS) {
                    enter(RecoveryPhase.SERVE_ALL, "nothing was held back for 2 s", now);
                }
            }
            default -> {
                // Recovery is over.
            }
        }
    }

    private void awaitMembers(long now) {
        boolean majority = fleet.filter(seen -> seen.size() * 2 > expectedMembers).isPresent();
        if (majority) {
            enter(
                    RecoveryPhase.AWAIT_ENDPOINT_LIST,
                    "a majority of " + expectedMembers + " is in view",
                    now);
        } else if (hasHalfOfFleetFullState()) {
            enter(
                    RecoveryPhase.AWAIT_ENDPOINT_LIST,
                    "members that kept their power are in view",
                    now);
        } else if (now - startedAt >= settings.quorumTimeout()) {
            enter(RecoveryPhase.AWAIT_ENDPOINT_LIST, "no majority came", now);
        }
    }

    private boolean hasHalfOfFleetFullState() {
        return fleet.filter(seen -> 2 * seen.peersWithFullState() >= expectedMembers).isPresent();
    }

    private void awaitEndpointList(long now) {
        requestListIfDue(now);
        boolean persistedListDue = now - startedAt >= PERSISTED_LIST_DELAY;
        if (persistedListDue && !persistedListUsed && !endpointList.hasList()) {
            persistedListUsed = true;
            host.usePersistedList();
        }
        boolean waitedEnough =
                endpointList.hasList() && now - phaseSince >= settings.quorumTimeout();
        if (endpointList.isConfirmed() && hasHalfOfFleetFullState()) {
            fleetHasFullState = true;
            enter(RecoveryPhase.SERVE_ALL, "the fleet kept its power", now);
        } else if (endpointList.isConfirmed() || waitedEnough) {
            enter(RecoveryPhase.AWAIT_ORIGIN, "list " + endpointList.status(), now);
        }
    }

    private void requestListIfDue(long now) {
        if (now - listRequestedAt < REQUEST_INTERVAL) {
            return;
        }
        Optional<String> member = fleet.flatMap(endpointList::memberWithNewerList);
        if (member.isPresent()) {
            listRequestedAt = now;
            host.requestEndpointList(member.get());
        }
    }

    private void awaitOrigin(long now) {
        if (!deployment.mayProbe()) {
            enter(RecoveryPhase.SERVE_WRITES, "the origin may not be asked", now);
        } else if (originAnswered) {
            enter(RecoveryPhase.SERVE_WRITES, "the origin answers", now);
        } else if (now - phaseSince >= settings.quorumTimeout()) {
            enter(RecoveryPhase.SERVE_WRITES, "the origin has not answered", now);
        } else if (now - probedAt >= REQUEST_INTERVAL) {
            probedAt = now;
            host.probeOrigin();
        }
    }

    private void enter(RecoveryPhase next, String reason, long now) {
        host.log(
                "recovery: "
                        + next.displayName()
                        + " after "
                        + Ticks.toMillis(now - startedAt)
                        + " ms, "
                        + reason);
        phase = next;
        phaseSince = now;
        admission.phaseBegan(now);
    }

    // Requests.

    /** Decides about a new request, before anything else does. */
    public AdmissionDecision admit(IncomingRequest request, long now) {
        Category category = deployment.categories().get(request.category().value());
        boolean unknown =
                unknownOutcomes.isOutcomeUnknown(category, request.isRetry(), request.deadline());
        if (!fleetHasFullState && unknown) {
            return admission.failUnknownOutcome();
        }
        return admission.admit(request, phase, endpointList.isConfirmed(), now);
    }

    /** An attempt of a request has ended. */
    public void attemptEnded(
            RequestId request, NodeId node, AttemptOutcome outcome, long duration, long now) {
        boolean wasSent = outcome != AttemptOutcome.NOT_SENT;
        boolean conclusive = wasSent && outcome != AttemptOutcome.CANCELLED;
        boolean atOrigin = conclusive && nodes.isOrigin(node);
        attemptEnded(request, atOrigin, outcome == AttemptOutcome.SUCCESS, duration, now);
    }

    /** The same where it is known whether the end says anything about the origin. */
    void attemptEnded(RequestId id, boolean atOrigin, boolean succeeded, long duration, long now) {
        if (phase == RecoveryPhase.SERVE_ALL) {
            return;
        }
        if (atOrigin) {
            originAnswered |= succeeded;
            originLimit.attemptEnded(succeeded, duration, now);
        }
        if (succeeded) {
            admission.attemptSucceeded(id);
        }
    }

    /** A request has got its answer. */
    public void requestAnswered(RequestId request) {
        admission.requestAnswered(request);
    }

    // What others may read.

    /** The origin, if an endpoint list has named it. */
    public Optional<NodeId> origin() {
        return nodes.origin();
    }

    /** The present phase. */
    public RecoveryPhase phase() {
        return phase;
    }

    /** What other members are told: the limit that this proxy has found by itself. */
    public int originLimit() {
        return originLimit.ownLimit();
    }

    /** Whether the endpoint list in use is confirmed. */
    public boolean isEndpointListConfirmed() {
        return endpointList.isConfirmed();
    }

    /** Retries that were failed as the outcome of their first attempt is unknown. */
    public long failedAsUnknown() {
        return admission.failedAsUnknown();
    }

    /** Requests that were rejected. */
    public long rejected() {
        return admission.rejected();
    }

    /** The present state for operators, one sentence a line. */
    public List<String> status(long now) {
        int members = fleet.map(FleetSnapshot::size).orElse(1);
        return List.of(
                "phase "
                        + phase.displayName()
                        + " for "
                        + Ticks.toSeconds(now - phaseSince)
                        + " s, waits for "
                        + phase.awaited(),
                "list " + endpointList.status(),
                "members " + members + " of " + expectedMembers,
                "pace "
                        + originLimit.limit()
                        + " ops on their way to the origin, own "
                        + originLimit.ownLimit(),
                "turned away "
                        + rejected()
                        + ", not pushed again for a hidden fate "
                        + failedAsUnknown());
    }
}
