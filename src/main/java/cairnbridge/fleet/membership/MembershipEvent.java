package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.Packet;

/** An input event of the membership protocol. */
public sealed interface MembershipEvent {
    /** A datagram of this cluster has arrived and has been authenticated. */
    record PacketReceived(Packet packet) implements MembershipEvent {}

    /** Another member has called over a stream; {@link MembershipHost#answer} takes the same id. */
    record CallReceived(long callId, Packet packet) implements MembershipEvent {}

    /**
     * A call started by this member has ended.
     *
     * @param callId the id passed to {@link MembershipHost#call}
     * @param packet the answer; null if there is none
     */
    record CallCompleted(long callId, Packet packet) implements MembershipEvent {}

    /** This member's metadata has changed and is to be announced. */
    record MetadataChanged(MemberMetadata metadata) implements MembershipEvent {}

    /** This member is to leave the fleet. */
    record LeaveRequested() implements MembershipEvent {}
}
