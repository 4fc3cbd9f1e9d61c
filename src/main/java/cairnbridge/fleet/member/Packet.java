package cairnbridge.fleet.member;

/**
 * A message with its sender's own word on itself. digest is a hash of the sender's whole view, 0
 * where the form it speaks has none (before version 2).
 */
public record Packet(
        MemberId from, Endpoint at, Incarnation incarnation, long digest, Message body) {
    /** Bytes of a datagram without its claims, at most. */
    public static final int FRAME_BYTES = 240;
}
