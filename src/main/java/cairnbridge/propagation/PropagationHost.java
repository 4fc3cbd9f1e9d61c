package cairnbridge.propagation;

import cairnbridge.fleet.member.MemberId;

/** The output side of a state machine of this package; its methods must not block. */
public interface PropagationHost {
    /** Sends a message, which may be lost, duplicated or reordered. */
    void send(MemberId to, Message message);
}
