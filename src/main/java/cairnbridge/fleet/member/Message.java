package cairnbridge.fleet.member;

import java.util.List;

/**
 * What members say to one another. Claims ride along with what is said anyway (SWIM, section 4.1).
 */
public sealed interface Message {
    List<Claim> claims();

    /** Whom it asks is named: another member may have taken over its address. */
    record Ping(long number, MemberId target, List<Claim> claims) implements Message {}

    /** Answers a ping, one's own or one passed on, by its number. */
    record Ack(long number, List<Claim> claims) implements Message {}

    /**
     * Asks another to ping the target; that one acks if the target does, and says so if it does not
     * (Lifeguard).
     */
    record AskOther(long number, MemberId target, Endpoint at, List<Claim> claims)
            implements Message {}

    /**
     * The one asked could not reach the target either; that it answers at all speaks for the
     * asker's own link.
     */
    record NoWord(long number, List<Claim> claims) implements Message {}

    record Gossip(List<Claim> claims) implements Message {}

    /** One hash for each part of the sender's view, to be compared; over a stream only. */
    record Digest(List<Long> parts) implements Message {
        @Override
        public List<Claim> claims() {
            return List.of();
        }
    }

    /**
     * Something said between parts that stand on the view; topic tells which; over a stream only.
     */
    record Word(String topic, byte[] bytes) implements Message {
        @Override
        public List<Claim> claims() {
            return List.of();
        }
    }

    /** All that is held in the parts with these numbers; over a stream only. */
    record Entries(List<Integer> parts, List<Claim> claims) implements Message {}
}
