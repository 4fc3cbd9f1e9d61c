package cairnbridge.zones.consensus;

import cairnbridge.zones.plan.Plan;

/** The CASPaxos messages between a proposer and the voters. */
public sealed interface ConsensusMessage {
    /** The ballot of the proposal that the message belongs to. */
    Ballot ballot();

    /** Requests a voter's promise to accept no proposal with a lower ballot. */
    record Prepare(Ballot ballot) implements ConsensusMessage {}

    /**
     * A voter's promise to accept no proposal with a lower ballot.
     *
     * @param accepted the ballot of the plan that the voter accepted last; {@link Ballot#NONE} if
     *     none
     * @param plan the plan that the voter accepted last; {@link Plan#EMPTY} if none
     */
    record Promise(Ballot ballot, Ballot accepted, Plan plan) implements ConsensusMessage {}

    /** Requests that a voter accept a plan. */
    record Accept(Ballot ballot, Plan plan) implements ConsensusMessage {}

    /** Confirms that a voter has accepted and persisted the plan of the ballot. */
    record Accepted(Ballot ballot) implements ConsensusMessage {}

    /** Rejects a message because the voter has already promised an equal or higher ballot. */
    record Rejected(Ballot ballot, Ballot promised) implements ConsensusMessage {}
}
