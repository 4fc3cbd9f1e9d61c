package cairnbridge.zones.consensus;

import cairnbridge.zones.plan.Plan;
import java.util.Optional;

/**
 * The acceptor state of one voter. Immutable: {@link #handle} returns the next state, which has to
 * be persisted before the answer is sent. Any two majorities share a voter, so the promises of a
 * majority always contain the latest plan that a majority has accepted, or a later one.
 *
 * @param promised the highest ballot that was promised
 * @param accepted the ballot of the plan that was accepted last
 * @param plan the plan that was accepted last
 */
public record AcceptorState(Ballot promised, Ballot accepted, Plan plan) {
    /** The state of a voter that has promised and accepted nothing. */
    public static final AcceptorState EMPTY =
            new AcceptorState(Ballot.NONE, Ballot.NONE, Plan.EMPTY);

    /**
     * The result of handling a message.
     *
     * @param next the next state, which has to be persisted; empty if the state is unchanged
     * @param answer the answer to send once the next state is persisted
     */
    public record Transition(Optional<AcceptorState> next, ConsensusMessage answer) {}

    /** Handles a Prepare or Accept message of a proposer; rejects any other message. */
    public Transition handle(ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Prepare prepare) {
            return prepare(prepare.ballot());
        }
        if (message instanceof ConsensusMessage.Accept accept) {
            return accept(accept.ballot(), accept.plan());
        }
        return reject(message.ballot());
    }

    private Transition prepare(Ballot ballot) {
        if (ballot.compareTo(promised) <= 0) {
            return reject(ballot);
        }
        return new Transition(
                Optional.of(new AcceptorState(ballot, accepted, plan)),
                new ConsensusMessage.Promise(ballot, accepted, plan));
    }

    private Transition accept(Ballot ballot, Plan proposed) {
        if (ballot.compareTo(promised) < 0) {
            return reject(ballot);
        }
        return new Transition(
                Optional.of(new AcceptorState(ballot, ballot, proposed)),
                new ConsensusMessage.Accepted(ballot));
    }

    private Transition reject(Ballot ballot) {
        return new Transition(Optional.empty(), new ConsensusMessage.Rejected(ballot, promised));
    }
}
