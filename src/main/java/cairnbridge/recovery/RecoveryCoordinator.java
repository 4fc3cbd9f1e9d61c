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
 * Takes one proxy through its recovery from a power loss. The proxy reports events, has each new
 * request admitted, and calls {@link #advance} regularly. If half of the fleet has its full state,
 * the proxy enters the last phase as soon as its endpoint list is confirmed.
 */
public final class RecoveryCoordinator {
    /** The persisted list is used if discovery has sent none within this time. */
    private static final long PERSISTED_LIST_DELAY = Ticks.SECOND;

    /** The interval of requests for another member's list, and of health checks of the origin. */
    private static final long REQUEST_INTERVAL = Ticks.SECOND / 2;

    /** Reads are served this long after the first writes. */
    private static final long WRITES_ONLY_TIME = Ticks.SECOND / 4;

    /** Recovery ends once the origin limit has rejected nothing for this long. */
    private static final long UNTHROTTLED_TIME = 2 * Ticks.SECOND;

    /** Recovery does not end before this many requests have arrived while reads are served. */
    private static final int MIN_UNTHROTTLED_REQUESTS = 50;

    private static final long NEVER = Long.MIN_VALUE / 2;

    /**
     * The configuration of the deployment and of this proxy, as far as recovery needs it.
     *
     * @param categories the classes of requests
     * @param proxies the configured number of proxies; used if fewer members were persisted
     * @param originKind the machine kind of the origin
     * @param mayProbe whether health checks are allowed
     * @param member the name of this member
     * @param zone the zone of this member
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

    /** Starts a recovery. */
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

    /** Handles a change of the members, their endpoint lists or their origin limits. */
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

    /** Handles a list that is in use: from discovery unless its scope is CACHED. */
    public void endpointListChanged(Event.EndpointListReceived list, long now) {
        nodes.endpointListChanged(list);
        if (list.scope() == ListScope.CACHED) {
            unconfirmedListUsed(list.version(), nodes.latestStart(), now);
        } else if (list.scope() != ListScope.FAILED) {
            listReceived(list.version(), nodes.latestStart(), now);
        }
    }

    /** Handles a list from discovery that is older than the floor and not in use. */
    public void staleListReceived(long version, long now) {
        listReceived(version, nodes.latestStart(), now);
    }

    /** Handles a list that is in use and did not come from discovery. */
    void unconfirmedListUsed(long version, long newestNodeStart, long now) {
        endpointList.unconfirmedListUsed(version);
        unknownOutcomes.setNewestNodeStart(newestNodeStart);
        fleet.ifPresent(endpointList::fleetChanged);
        advance(now);
    }

    /** Handles a list from discovery, whether it is in use or too old. */
    void listReceived(long version, long newestNodeStart, long now) {
        if (endpointList.listReceived(version, now)) {
            unknownOutcomes.setNewestNodeStart(newestNodeStart);
        }
        advance(now);
    }

    /** Lists from discovery below this version are older than a known one and are not used. */
    public long endpointListFloor() {
        return endpointList.versionFloor();
    }

    /** Handles the result of a health check; results of nodes other than the origin are ignored. */
    public void probeEnded(NodeId node, AttemptOutcome outcome, long now) {
        if (nodes.isOrigin(node)) {
            // An error is an answer as well: the origin runs.
            originProbed(outcome == AttemptOutcome.SUCCESS || outcome == AttemptOutcome.ERROR, now);
        }
    }

    /** Handles the result of a health check of the origin. */
    void originProbed(boolean answered, long now) {
        originAnswered |= answered;
        advance(now);
    }

    /** Enters every phase whose conditions are met, and requests what the phase waits for. */
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
                    "maximum duration reached: " + Ticks.toSeconds(now - startedAt) + " s",
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
                    enter(RecoveryPhase.SERVE_READS, "the time for writes alone is over", now);
                }
            }
            case SERVE_READS -> {
                boolean unthrottled =
                        now - phaseSince >= UNTHROTTLED_TIME
                                && admission.isUnthrottledFor(UNTHROTTLED_TIME, now);
                if (unthrottled && admission.requestsInPhase() >= MIN_UNTHROTTLED_REQUESTS) {
                    enter(
                            RecoveryPhase.SERVE_ALL,
                            "the origin limit rejected nothing for 2 s",
                            now);
                }
            }
            default -> {
                // Recovery is over.
            }
        }
    }

    private void awaitMembers(long now) {
        boolean majority = fleet.filter(view -> view.size() * 2 > expectedMembers).isPresent();
        if (majority) {
            enter(
                    RecoveryPhase.AWAIT_ENDPOINT_LIST,
                    "a majority of the fleet (expected size " + expectedMembers + ") is in view",
                    now);
        } else if (hasHalfOfFleetFullState()) {
            enter(
                    RecoveryPhase.AWAIT_ENDPOINT_LIST,
                    "members with their full state are in view",
                    now);
        } else if (now - startedAt >= settings.quorumTimeout()) {
            enter(RecoveryPhase.AWAIT_ENDPOINT_LIST, "no majority before the timeout", now);
        }
    }

    private boolean hasHalfOfFleetFullState() {
        return fleet.filter(view -> 2 * view.peersWithFullState() >= expectedMembers).isPresent();
    }

    private void awaitEndpointList(long now) {
        requestListIfDue(now);
        boolean persistedListDue = now - startedAt >= PERSISTED_LIST_DELAY;
        if (persistedListDue && !persistedListUsed && !endpointList.hasList()) {
            persistedListUsed = true;
            host.usePersistedList();
        }
        boolean unconfirmedListDue =
                endpointList.hasList() && now - phaseSince >= settings.quorumTimeout();
        if (endpointList.isConfirmed() && hasHalfOfFleetFullState()) {
            fleetHasFullState = true;
            enter(RecoveryPhase.SERVE_ALL, "half of the fleet has its full state", now);
        } else if (endpointList.isConfirmed() || unconfirmedListDue) {
            enter(RecoveryPhase.AWAIT_ORIGIN, "endpoint list " + endpointList.status(), now);
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
            enter(RecoveryPhase.SERVE_WRITES, "health checks are not allowed", now);
        } else if (originAnswered) {
            enter(RecoveryPhase.SERVE_WRITES, "the origin answers", now);
        } else if (now - phaseSince >= settings.quorumTimeout()) {
            enter(RecoveryPhase.SERVE_WRITES, "no answer of the origin before the timeout", now);
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

    /** Decides about a new request; to be called before the request is routed. */
    public AdmissionDecision admit(IncomingRequest request, long now) {
        Category category = deployment.categories().get(request.category().value());
        boolean unknown =
                unknownOutcomes.isOutcomeUnknown(category, request.isRetry(), request.deadline());
        if (!fleetHasFullState && unknown) {
            return admission.failUnknownOutcome();
        }
        return admission.admit(request, phase, endpointList.isConfirmed(), now);
    }

    /** Handles the end of an attempt, whose result adapts the origin limit if it was sent there. */
    public void attemptEnded(
            RequestId request, NodeId node, AttemptOutcome outcome, long duration, long now) {
        boolean wasSent = outcome != AttemptOutcome.NOT_SENT;
        boolean conclusive = wasSent && outcome != AttemptOutcome.CANCELLED;
        boolean atOrigin = conclusive && nodes.isOrigin(node);
        attemptEnded(request, atOrigin, outcome == AttemptOutcome.SUCCESS, duration, now);
    }

    /** Handles the end of an attempt; its result counts for the origin if {@code atOrigin}. */
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

    /** Handles the end of a request: it was answered, or no answer is owed any more. */
    public void requestAnswered(RequestId request) {
        admission.requestAnswered(request);
    }

    /** The origin; empty until an endpoint list has contained it. */
    public Optional<NodeId> origin() {
        return nodes.origin();
    }

    /** The current phase. */
    public RecoveryPhase phase() {
        return phase;
    }

    /** The limit of requests in flight to the origin that this proxy announces to other members. */
    public int originLimit() {
        return originLimit.ownLimit();
    }

    /** Whether the endpoint list in use is confirmed. */
    public boolean isEndpointListConfirmed() {
        return endpointList.isConfirmed();
    }

    /** The number of retries that were failed because their first attempt may have run. */
    public long failedAsUnknown() {
        return admission.failedAsUnknown();
    }

    /** The number of requests that were rejected. */
    public long rejected() {
        return admission.rejected();
    }

    /** The lines of the answer to the admin call {@code recovery}. */
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
