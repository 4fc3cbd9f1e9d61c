package cairnbridge.zones.consensus;

import cairnbridge.zones.plan.Plan;

/** The messages between a proposer and the voters. */
public sealed interface ConsensusMessage {
    /** The proposal that it belongs to. */
    Ballot ballot();

    /** Asks a voter to promise that it accepts no lower ballot. */
    record Prepare(Ballot ballot) implements ConsensusMessage {}

    /**
     * The voter promises that.
     *
     * @param accepted the ballot that it accepted last; {@link Ballot#NONE} if there is none
     * @param plan the plan that it accepted last; {@link RequestPolicy#EMPTY} if there is none
     */
    record Promise(Ballot ballot, Ballot accepted, Plan plan) implements ConsensusMessage {}

    /** Asks a voter to accept a plan. */
    record Accept(Ballot ballot, Plan plan) implements ConsensusMessage {}

    /** The voter has accepted it. */
    record Accepted(Ballot ballot) implements ConsensusMessage {}

    /** The voter has promised a higher ballot. */
    record Rejected(Ballot ballot, Ballot promised) implements ConsensusMessage {}
}
