package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.membership.MembershipView;
import cairnbridge.time.Ticks;
import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.plan.ListedNode;
import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.PlanCodec;
import cairnbridge.zones.plan.Planner;
import cairnbridge.zones.plan.Zone;
import cairnbridge.zones.plan.ZoneHealth;
import cairnbridge.zones.plan.ZoneStatus;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

/**
 * Takes part in the zone plans of a fleet for one member. Every member receives and applies agreed
 * plans; voters also accept proposals, and one voter at a time is the proposer. The caller invokes
 * {@link #viewPublished} several times a second and {@link #messageReceived} for messages of other
 * members; all effects go through the {@link ZonePlanHost}.
 */
public final class ZonePlanCoordinator {
    // Topics of messages between members; they are part of the wire protocol.
    static final String CONSENSUS_TOPIC = "zones-vote";
    private static final String PLAN_TOPIC = "zones-plan";
    private static final String COMMAND_TOPIC = "zones-staff";

    private static final byte[] NO_ANSWER = {};

    /** The minimum time between two requests for another member's plan. */
    private static final long PULL_INTERVAL = Ticks.SECOND / 5;

    /** The proposer sends an agreed plan to at most this many members; the others request it. */
    private static final int MAX_PUSHES = 64;

    /**
     * A member makes no plans for this long after its start, because its first information on
     * unreachable zones is unreliable.
     */
    private static final long START_DELAY = 5 * Ticks.SECOND;

    private final MemberId self;
    private final ZoneSettings settings;
    private final ZonePlanHost host;
    private final ZoneHealth health;
    private final ZoneElection election;
    private final PlanAcceptor acceptor;
    private final PlanProposer proposer;
    private final DrainRequests drainRequests = new DrainRequests();
    private Optional<Planner> planner = Optional.empty();
    private Plan plan = Plan.EMPTY;
    private Optional<MembershipView> view = Optional.empty();
    private long startedAt;
    private long pulledAt;
    private long now;
    private long unixMillis;

    /**
     * No plan with a lower epoch comes into force: other members may have confirmed this epoch
     * before a power loss.
     */
    private long epochFloor;

    private boolean proposing;

    /**
     * Creates a coordinator with the empty plan.
     *
     * @param epochFloor the highest epoch that was persisted before this start
     * @param persisted the persisted acceptor state of a voter; ignored at other members
     */
    public ZonePlanCoordinator(
            MemberId self,
            ZoneSettings settings,
            ZoneHealth.NodeRates rates,
            RandomGenerator random,
            long epochFloor,
            AcceptorState persisted,
            ZonePlanHost host) {
        this.self = self;
        this.settings = settings;
        this.host = host;
        this.epochFloor = epochFloor;
        health = new ZoneHealth(rates);
        election = new ZoneElection(settings.voters());
        acceptor = new PlanAcceptor(settings.isVoter(self), persisted, host);
        proposer =
                new PlanProposer(
                        self,
                        settings.voters(),
                        acceptor,
                        host,
                        random,
                        this::nextPlan,
                        this::planAgreed);
    }

    /** The plan that is in force here. */
    public Plan plan() {
        return plan;
    }

    /**
     * Handles a new membership view or the passing of time: requests a newer plan, updates this
     * member's role, and starts a proposal if one is due.
     *
     * @param newUnixMillis the wall-clock time, Unix time in milliseconds
     */
    public void viewPublished(MembershipView newView, long newNow, long newUnixMillis) {
        view = Optional.of(newView);
        startedAt = now == 0 ? newNow : startedAt;
        now = newNow;
        unixMillis = newUnixMillis;
        if (!settings.consensus()) {
            planWithoutConsensus();
            return;
        }
        raiseEpochFloor(newView);
        pullPlan(newView);
        updateRole(newView);
        proposer.advanceTo(now);
        boolean proposalDue =
                proposing
                        && proposer.isIdle()
                        && (proposer.needsReproposal()
                                || !drainRequests.isEmpty()
                                || !nextPlan(plan).equals(plan));
        if (proposalDue) {
            proposer.propose();
        }
    }

    private void raiseEpochFloor(MembershipView current) {
        for (MemberState member : current.liveMembers()) {
            if (member.metadata() != null) {
                epochFloor = Math.max(epochFloor, member.metadata().recovery().epochFloor());
            }
        }
        proposer.raiseEpochFloor(epochFloor);
    }

    private void updateRole(MembershipView current) {
        boolean isProposer =
                election.proposer(current).filter(self::equals).isPresent()
                        && election.hasMajority(current);
        if (isProposer && !proposing) {
            planner = Optional.of(new Planner(settings.planner(), now));
            proposer.activate();
            host.log("zones: this member is now the proposer");
        }
        proposing = isProposer;
    }

    /**
     * Plans without consensus, as a baseline for comparison: each member applies the plan that it
     * computes itself from gossip.
     */
    private void planWithoutConsensus() {
        if (planner.isEmpty()) {
            planner = Optional.of(new Planner(settings.planner(), now));
        }
        Plan next = nextPlan(plan);
        if (!next.equals(plan)) {
            planner.get().planAgreed(plan, next, now);
            apply(next);
        }
    }

    /** Computes the plan that follows a given one; returns the given plan if nothing changes. */
    private Plan nextPlan(Plan from) {
        List<ListedNode> nodes = host.listedNodes();
        // Guards against a member that has just started and takes zones for unreachable, because it
        // has no endpoint list yet, or because its first calls were late.
        if (nodes.isEmpty() || now - startedAt < START_DELAY) {
            return from;
        }
        List<ZoneStatus> statuses =
                health.evaluate(view.orElseThrow().liveMembers(), nodes, now, unixMillis);
        Map<Zone, Long> drained = drainRequests.applyTo(from.drained(), unixMillis);
        Planner current = planner.orElseThrow();
        return current.isDue(now) || !drained.equals(from.drained())
                ? current.next(from, statuses, drained, self.name(), now)
                : from;
    }

    private void planAgreed(Plan agreed) {
        planner.orElseThrow().planAgreed(plan, agreed, now);
        drainRequests.planAgreed(agreed);
        apply(agreed);
        pushPlan();
    }

    private void pushPlan() {
        byte[] encoded = PlanCodec.encode(plan);
        view.orElseThrow().liveMembers().stream()
                .filter(member -> !member.id().equals(self))
                .limit(MAX_PUSHES)
                .forEach(member -> host.call(member.id(), PLAN_TOPIC, encoded, answer -> {}));
    }

    /**
     * Puts a plan into force unless its epoch is lower than the floor or not higher than that of
     * the current plan.
     */
    private void apply(Plan next) {
        if (next.epoch() <= plan.epoch() || next.epoch() < epochFloor) {
            return;
        }
        String prefix = "zones: epoch " + next.epoch() + " by " + next.proposer() + ": ";
        ZoneStatusFormatter.describeChanges(plan, next)
                .forEach(change -> host.log(prefix + change));
        plan = next;
        host.planChanged(plan);
    }

    /**
     * Requests the plan of the member that announces the highest epoch, if it exceeds the local
     * one.
     */
    private void pullPlan(MembershipView current) {
        Optional<MemberState> latest =
                current.liveMembers().stream()
                        .filter(member -> planEpoch(member) > plan.epoch())
                        .reduce((one, other) -> planEpoch(other) > planEpoch(one) ? other : one);
        if (latest.isPresent() && now - pulledAt >= PULL_INTERVAL) {
            pulledAt = now;
            host.call(
                    latest.get().id(),
                    PLAN_TOPIC,
                    NO_ANSWER,
                    answer -> answer.ifPresent(this::planReceived));
        }
    }

    private static long planEpoch(MemberState member) {
        return member.knownMetadata().map(known -> known.planEpoch()).orElse(0L);
    }

    private void planReceived(byte[] encoded) {
        if (encoded.length == 0) {
            return;
        }
        try {
            apply(PlanCodec.decode(encoded));
        } catch (IllegalArgumentException e) {
            host.log("zones: a plan that cannot be decoded was received");
        }
    }

    /**
     * Handles a message of another member. A consensus message is answered after the acceptor state
     * is persisted, any other message immediately.
     */
    public void messageReceived(String topic, byte[] payload, Consumer<byte[]> answer) {
        switch (topic) {
            case CONSENSUS_TOPIC -> acceptor.handle(payload, answer);
            case PLAN_TOPIC -> {
                planReceived(payload);
                answer.accept(PlanCodec.encode(plan));
            }
            case COMMAND_TOPIC -> {
                String command = new String(payload, StandardCharsets.UTF_8);
                answer.accept(execute(command).getBytes(StandardCharsets.UTF_8));
            }
            default -> answer.accept(NO_ANSWER);
        }
    }

    // Commands of operators.

    /** Formats the plan, the members that have not confirmed it, and the status of each zone. */
    String status() {
        if (view.isEmpty()) {
            return "not in a fleet yet\n";
        }
        MembershipView current = view.get();
        String proposerName =
                settings.consensus()
                        ? String.valueOf(election.proposer(current).orElse(null))
                        : "each by itself";
        boolean majority = !settings.consensus() || election.hasMajority(current);
        List<ZoneStatus> statuses =
                health.evaluate(current.liveMembers(), host.listedNodes(), now, unixMillis);
        return ZoneStatusFormatter.formatPlan(plan, current, proposerName, majority)
                + ZoneStatusFormatter.formatStatuses(statuses);
    }

    /**
     * Runs {@code drain ZONE SECONDS} or {@code restore ZONE}, or forwards the command if another
     * member is the proposer. The answer begins with 200 or 400.
     */
    public String execute(String command) {
        String[] tokens = command.split(" +");
        Zone zone = new Zone(tokens.length > 1 ? tokens[1] : "");
        if (host.listedNodes().stream().noneMatch(node -> node.zone().equals(zone))) {
            return "400 no such zone";
        }
        if (settings.consensus()) {
            Optional<MemberId> currentProposer =
                    view.filter(election::hasMajority).flatMap(election::proposer);
            if (currentProposer.isEmpty()) {
                return "400 no majority of voters in view";
            }
            if (!currentProposer.get().equals(self)) {
                return forwardToProposer(command, currentProposer.get());
            }
        }
        return recordRequest(zone, tokens);
    }

    private String forwardToProposer(String command, MemberId currentProposer) {
        byte[] payload = command.getBytes(StandardCharsets.UTF_8);
        host.call(currentProposer, COMMAND_TOPIC, payload, answer -> {});
        return "200 handed to " + currentProposer + ", zones shows when it is in force";
    }

    private String recordRequest(Zone zone, String[] tokens) {
        boolean drain = tokens[0].equals("drain");
        long millisLeft = plan.drained().getOrDefault(zone, 0L) - unixMillis;
        if (tokens[0].equals("restore") && millisLeft > 0) {
            return "400 drained for "
                    + TimeUnit.MILLISECONDS.toSeconds(millisLeft)
                    + " s more at least";
        }
        long seconds;
        try {
            seconds = tokens.length > 2 ? Long.parseLong(tokens[2]) : 0;
        } catch (NumberFormatException e) {
            return "400 no number of seconds";
        }
        if (drain) {
            drainRequests.drain(zone, unixMillis + TimeUnit.SECONDS.toMillis(seconds));
        } else {
            drainRequests.restore(zone);
        }
        return "200 taken, zones shows when it is in force";
    }
}
