package cairnbridge.fleet.membership;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Packet;

/**
 * The services that the membership protocol needs from its process: messages, notifications and a
 * log. Every method must return without blocking and is called on the protocol's thread.
 */
public interface MembershipHost {
    /** Sends a datagram, which may be lost. */
    void send(Endpoint to, Packet packet);

    /**
     * Calls a member over a stream. {@link MembershipEvent.CallCompleted} always follows, within
     * some seconds.
     *
     * @param callId identifies the call; chosen by the protocol
     */
    void call(long callId, Endpoint to, Packet packet);

    /** Answers a {@link MembershipEvent.CallReceived}. */
    void answer(long callId, Packet packet);

    /**
     * Reports that the state of a member in this view has changed.
     *
     * @param before null for a member that was unknown
     * @param after null for a member that is forgotten
     */
    void memberChanged(MemberState before, MemberState after, StatusChangeReason reason);

    /** Logs a message for operators; rare. */
    void log(String message);

    /** Why the status of a member has changed. */
    enum StatusChangeReason {
        /** The member was unknown before. */
        JOINED,
        /** Its process has restarted. */
        RESTARTED,
        /** It did not answer a probe of this or another member. */
        PROBE_FAILED,
        /** Another member reported the change. */
        GOSSIP,
        /** It did not refute a suspicion in time. */
        SUSPICION_TIMEOUT,
        /** It refuted a suspicion. */
        REFUTED,
        /** It was considered dead and has sent a message in the same run. */
        RETURNED,
        /** It announced that it left the fleet. */
        LEFT,
        /** It was dead or had left, and its retention has expired. */
        FORGOTTEN
    }
}
