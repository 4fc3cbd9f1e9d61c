package cairnbridge.zones;

import cairnbridge.zones.consensus.AcceptorState;
import cairnbridge.zones.consensus.Ballot;
import cairnbridge.zones.consensus.ConsensusCodec;
import cairnbridge.zones.consensus.ConsensusMessage;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The acceptor of one voter. Answers a message only after the resulting state is persisted. The
 * write runs on another thread: guards against a member that is suspected dead because its gossip
 * thread waits for a slow disk.
 */
final class PlanAcceptor {
    private static final byte[] NO_ANSWER = {};

    private final boolean isVoter;
    private final ZonePlanHost host;
    private AcceptorState state;

    /**
     * Messages that arrived during a write. They are handled after it, so that no answer depends on
     * a state that is not persisted.
     */
    private final ArrayDeque<Runnable> pendingMessages = new ArrayDeque<>();

    private boolean persisting;

    PlanAcceptor(boolean isVoter, AcceptorState persisted, ZonePlanHost host) {
        this.isVoter = isVoter;
        this.host = host;
        state = persisted;
    }

    /** The highest ballot that this acceptor has promised. */
    Ballot promised() {
        return state.promised();
    }

    /**
     * Handles a message. The answer is empty if this member is no voter, if the message cannot be
     * decoded, or if the state cannot be persisted.
     */
    void handle(byte[] message, Consumer<byte[]> answer) {
        if (!isVoter) {
            answer.accept(NO_ANSWER);
        } else if (persisting) {
            pendingMessages.add(() -> handle(message, answer));
        } else {
            handleNow(message, answer);
        }
    }

    private void handleNow(byte[] message, Consumer<byte[]> answer) {
        AcceptorState.Transition transition;
        try {
            transition = state.handle(ConsensusCodec.decodeMessage(message));
        } catch (IllegalArgumentException e) {
            answer.accept(NO_ANSWER); // The proposer may run an incompatible version.
            return;
        }
        if (transition.next().isEmpty()) {
            answer.accept(ConsensusCodec.encode(transition.answer()));
            return;
        }
        AcceptorState next = transition.next().get();
        persisting = true;
        host.persist(next, fault -> statePersisted(next, transition.answer(), fault, answer));
    }

    private void statePersisted(
            AcceptorState next,
            ConsensusMessage message,
            Optional<String> fault,
            Consumer<byte[]> answer) {
        persisting = false;
        if (fault.isEmpty()) {
            state = next;
            answer.accept(ConsensusCodec.encode(message));
        } else {
            host.log("zones: a vote cannot be persisted, and is not given: " + fault.get());
            answer.accept(NO_ANSWER);
        }
        while (!persisting && !pendingMessages.isEmpty()) {
            pendingMessages.poll().run();
        }
    }
}
