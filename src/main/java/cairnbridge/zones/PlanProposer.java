package cairnbridge.zones;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.time.Ticks;
import cairnbridge.zones.consensus.Ballot;
import cairnbridge.zones.consensus.ConsensusCodec;
import cairnbridge.zones.consensus.ConsensusMessage;
import cairnbridge.zones.consensus.Proposal;
import cairnbridge.zones.plan.Plan;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;

/** Proposes the next plan to the voters until a majority of them accepts it. */
final class PlanProposer {
    /**
     * A proposal is abandoned after this time; the next one starts after a random delay of at most
     * the same time.
     */
    private static final long PROPOSAL_TIMEOUT = 2 * Ticks.SECOND;

    private static final long MIN_REJECTION_DELAY = Ticks.SECOND / 10;
    private static final long MAX_REJECTION_JITTER = Ticks.SECOND;

    /** Computes the next plan from the newest one; returns the same plan if nothing changes. */
    private final UnaryOperator<Plan> nextPlan;

    private final MemberId self;
    private final List<MemberId> voters;
    private final PlanAcceptor acceptor;
    private final ZonePlanHost host;
    private final RandomGenerator random;
    private final Consumer<Plan> onAgreed;
    private Optional<Proposal> proposal = Optional.empty();
    private Ballot lastBallot = Ballot.NONE;
    private long now;
    private long proposedAt;
    private long earliestProposalAt;
    private long epochFloor;
    private boolean reproposalNeeded;

    /**
     * Creates an inactive proposer.
     *
     * @param acceptor the acceptor of this member, called directly if it is a voter
     * @param nextPlan computes the next plan from the newest one; returns the same plan if nothing
     *     changes
     * @param onAgreed receives each plan that a majority has accepted
     */
    PlanProposer(
            MemberId self,
            List<MemberId> voters,
            PlanAcceptor acceptor,
            ZonePlanHost host,
            RandomGenerator random,
            UnaryOperator<Plan> nextPlan,
            Consumer<Plan> onAgreed) {
        this.self = self;
        this.voters = voters;
        this.acceptor = acceptor;
        this.host = host;
        this.random = random;
        this.nextPlan = nextPlan;
        this.onAgreed = onAgreed;
    }

    /**
     * Called when this member becomes the proposer. Its predecessor may have had a plan accepted
     * without announcing it, so the newest accepted plan has to be proposed again.
     */
    void activate() {
        reproposalNeeded = true;
    }

    /**
     * Sets the floor below which no epoch is proposed; a lower epoch is replaced by the one after
     * the floor.
     */
    void raiseEpochFloor(long floor) {
        epochFloor = floor;
    }

    /** Whether the newest accepted plan has to be proposed again even if nothing changes. */
    boolean needsReproposal() {
        return reproposalNeeded;
    }

    /** Advances the clock, and abandons a proposal that has reached its timeout. */
    void advanceTo(long newNow) {
        now = newNow;
        if (proposal.isPresent() && now - proposedAt > PROPOSAL_TIMEOUT) {
            proposal = Optional.empty();
            earliestProposalAt = now + random.nextLong(PROPOSAL_TIMEOUT);
        }
    }

    /** Whether no proposal is running and the delay since the last failed one is over. */
    boolean isIdle() {
        return proposal.isEmpty() && now >= earliestProposalAt;
    }

    /** Starts a proposal with a ballot higher than any that this member has seen. */
    void propose() {
        lastBallot = lastBallot.superseding(acceptor.promised(), self.name());
        proposal = Optional.of(Proposal.begin(lastBallot, voters.size()));
        proposedAt = now;
        sendToVoters(new ConsensusMessage.Prepare(lastBallot));
    }

    private void sendToVoters(ConsensusMessage message) {
        byte[] encoded = ConsensusCodec.encode(message);
        for (MemberId voter : voters) {
            if (voter.equals(self)) {
                acceptor.handle(encoded, answer -> answerReceived(voter, Optional.of(answer)));
            } else {
                host.call(
                        voter,
                        ZonePlanCoordinator.CONSENSUS_TOPIC,
                        encoded,
                        answer -> answerReceived(voter, answer));
            }
        }
    }

    private void answerReceived(MemberId voter, Optional<byte[]> answer) {
        if (proposal.isEmpty() || answer.isEmpty() || answer.get().length == 0) {
            return;
        }
        ConsensusMessage message;
        try {
            message = ConsensusCodec.decodeMessage(answer.get());
        } catch (IllegalArgumentException e) {
            return; // A voter of another version counts as one that did not answer.
        }
        Proposal next = proposal.get().withAnswer(voter.name(), message);
        proposal = Optional.of(next);
        if (next.rejected()) {
            proposalRejected(next);
        } else if (next.isPromised()) {
            majorityPromised(next);
        } else if (next.isAgreed()) {
            proposal = Optional.empty();
            reproposalNeeded = false;
            onAgreed.accept(next.proposed().orElseThrow());
        }
    }

    private void proposalRejected(Proposal rejected) {
        lastBallot = lastBallot.superseding(rejected.highestBallot(), self.name());
        proposal = Optional.empty();
        earliestProposalAt = now + MIN_REJECTION_DELAY + random.nextLong(MAX_REJECTION_JITTER);
    }

    /**
     * Proposes the next plan after a majority has promised. If nothing changes, the newest plan is
     * proposed again, because this member cannot tell whether a majority has accepted it.
     */
    private void majorityPromised(Proposal promised) {
        // Guards against epochs that restart from 0 after voters have lost their state.
        Plan newest = promised.newestAccepted().withEpochAbove(epochFloor);
        Plan next = nextPlan.apply(newest);
        proposal = Optional.of(promised.withPlan(next));
        sendToVoters(new ConsensusMessage.Accept(promised.ballot(), next));
    }
}
