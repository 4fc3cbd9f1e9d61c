package cairnbridge.fleet.member;

/**
 * A message and what its sender states about itself.
 *
 * @param sender the id of the sending member
 * @param endpoint the endpoint at which the sender is reached
 * @param incarnation the sender's present incarnation
 * @param viewDigest a hash of the sender's whole view; 0 in protocol version 1, which has none
 * @param message the content
 */
public record Packet(
        MemberId sender,
        Endpoint endpoint,
        Incarnation incarnation,
        long viewDigest,
        Message message) {
    /** An upper bound of the bytes of an encoded packet apart from its updates. */
    public static final int MAX_HEADER_BYTES = 240;
}
