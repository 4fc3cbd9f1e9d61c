package cairnbridge.zones.consensus;

import cairnbridge.zones.plan.Plan;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of one proposal with the answers of the voters so far. Immutable: each answer returns a
 * new proposal.
 *
 * @param ballot the number of the proposal
 * @param voterCount the number of voters in the fleet
 * @param promises the promises received so far, by voter
 * @param proposed the proposed plan; empty until a majority has promised
 * @param accepted the voters that have accepted the proposed plan
 * @param rejected whether a voter has rejected the proposal
 * @param highestBallot the highest ballot that this proposal or a rejection contains
 */
public record Proposal(
        Ballot ballot,
        int voterCount,
        Map<String, ConsensusMessage.Promise> promises,
        Optional<Plan> proposed,
        Set<String> accepted,
        boolean rejected,
        Ballot highestBallot) {
    /** Copies the collections. */
    public Proposal {
        promises = Map.copyOf(promises);
        accepted = Set.copyOf(accepted);
    }

    /** Starts a proposal without answers. */
    public static Proposal begin(Ballot ballot, int voters) {
        return new Proposal(ballot, voters, Map.of(), Optional.empty(), Set.of(), false, ballot);
    }

    private boolean isMajority(int count) {
        return 2 * count > voterCount;
    }

    /** Whether a majority has promised and no plan has been proposed yet. */
    public boolean isPromised() {
        return proposed.isEmpty() && isMajority(promises.size());
    }

    /** Whether a majority has accepted the proposed plan. */
    public boolean isAgreed() {
        return proposed.isPresent() && isMajority(accepted.size());
    }

    /**
     * The plan with the highest accepted ballot among the promises. The next plan must be derived
     * from it, as a majority may have accepted it.
     */
    public Plan newestAccepted() {
        return promises.values().stream()
                .max(Comparator.comparing(ConsensusMessage.Promise::accepted))
                .map(ConsensusMessage.Promise::plan)
                .orElse(Plan.EMPTY);
    }

    /** Returns a copy of this proposal that proposes a plan. */
    public Proposal withPlan(Plan plan) {
        return new Proposal(
                ballot, voterCount, promises, Optional.of(plan), accepted, rejected, highestBallot);
    }

    /** Returns a copy with the answer of a voter; ignores an answer to another ballot. */
    public Proposal withAnswer(String voter, ConsensusMessage answer) {
        if (!answer.ballot().equals(ballot)) {
            return this;
        }
        if (answer instanceof ConsensusMessage.Promise promise && proposed.isEmpty()) {
            Map<String, ConsensusMessage.Promise> updated = new HashMap<>(promises);
            updated.put(voter, promise);
            return new Proposal(
                    ballot, voterCount, updated, proposed, accepted, rejected, highestBallot);
        }
        if (answer instanceof ConsensusMessage.Accepted && proposed.isPresent()) {
            Set<String> updated = new HashSet<>(accepted);
            updated.add(voter);
            return new Proposal(
                    ballot, voterCount, promises, proposed, updated, rejected, highestBallot);
        }
        if (answer instanceof ConsensusMessage.Rejected rejection) {
            return withRejection(rejection.promised());
        }
        return this;
    }

    private Proposal withRejection(Ballot promised) {
        Ballot highest = promised.compareTo(highestBallot) > 0 ? promised : highestBallot;
        return new Proposal(ballot, voterCount, promises, proposed, accepted, true, highest);
    }
}
