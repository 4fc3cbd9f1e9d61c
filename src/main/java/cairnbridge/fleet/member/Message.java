package cairnbridge.fleet.member;

import java.util.List;

/**
 * The messages of the membership protocol. Most carry member states as piggybacked updates (SWIM,
 * section 4.1).
 */
public sealed interface Message {
    /** The member states that this message carries. */
    List<MemberState> updates();

    /**
     * Asks a member whether it is alive.
     *
     * @param sequence the number that the answer repeats
     * @param target the id of the pinged member, as another member may have taken over its address
     */
    record Ping(long sequence, MemberId target, List<MemberState> updates) implements Message {}

    /**
     * Answers a {@link Ping}, a {@link PingRequest} whose target answered, or a {@link
     * StateTransfer}.
     */
    record Ack(long sequence, List<MemberState> updates) implements Message {}

    /**
     * Asks another member to ping the target on the sender's behalf; answered by {@link Ack} or
     * {@link Nack}.
     */
    record PingRequest(
            long sequence, MemberId target, Endpoint targetEndpoint, List<MemberState> updates)
            implements Message {}

    /**
     * Answers a {@link PingRequest} whose target did not answer. Its arrival shows that the sender
     * of the request can be reached (Lifeguard).
     */
    record Nack(long sequence, List<MemberState> updates) implements Message {}

    /** Carries nothing but updates. */
    record Gossip(List<MemberState> updates) implements Message {}

    /** One hash for each partition of the sender's view, for comparison; sent over streams only. */
    record Digest(List<Long> partitionHashes) implements Message {
        @Override
        public List<MemberState> updates() {
            return List.of();
        }
    }

    /**
     * A message between components that use the view; sent over streams only.
     *
     * @param topic selects the component that handles the message
     */
    record ApplicationMessage(String topic, byte[] payload) implements Message {
        @Override
        public List<MemberState> updates() {
            return List.of();
        }
    }

    /** All member states in the given partitions of the sender's view; sent over streams only. */
    record StateTransfer(List<Integer> partitions, List<MemberState> updates) implements Message {}
}
