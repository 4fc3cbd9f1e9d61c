package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;

/** What a state machine of this package asks to be done; returns at once. */
public interface PropagationHost {
    /** May be lost, doubled, or overtaken. */
    void send(MemberId to, Message message);
}
