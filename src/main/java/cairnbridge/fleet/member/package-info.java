/**
 * The data that members of a fleet exchange: who a member is, what is known about it, and the
 * messages of the membership protocol. All types are immutable and safe for use by any thread.
 *
 * <p>Field names in {@link cairnbridge.fleet.member.MemberMetadata} and the order of fields in
 * messages are part of the protocol between versions; see {@code
 * cairnbridge.fleet.transport.PacketCodec}.
 */
package cairnbridge.fleet.member;
