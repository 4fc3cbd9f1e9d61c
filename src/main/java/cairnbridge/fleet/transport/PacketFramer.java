package cairnbridge.fleet.transport;

import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.Packet;
import java.nio.ByteBuffer;

/**
 * Turns packets into authenticated frames and back. Datagrams are checked for replay; frames of a
 * call are not, since TCP does not deliver data twice. Used by the transport's thread only.
 */
final class PacketFramer {
    /** The longest datagram that is decoded. */
    static final int MAX_DATAGRAM_BYTES = 65_536;

    private final MemberId self;
    private final FrameAuthenticator authenticator;
    private final ReplayWindow replayWindow;
    private long lastSequence;

    /**
     * Creates the framer of one member.
     *
     * @param self the member, whose own datagrams are not checked for replay
     */
    PacketFramer(MemberId self, FrameAuthenticator authenticator, ReplayWindow replayWindow) {
        this.self = self;
        this.authenticator = authenticator;
        this.replayWindow = replayWindow;
    }

    /** The authenticator of the frames. */
    FrameAuthenticator authenticator() {
        return authenticator;
    }

    /** Encodes a packet as a frame with the next sequence number. */
    ByteBuffer encode(Packet packet, int version, int maxPacketBytes) {
        byte[] encoded = PacketCodec.encode(packet, version, maxPacketBytes);
        lastSequence++;
        return authenticator.encode(
                new FrameAuthenticator.AuthenticatedFrame(
                        version, packet.incarnation().generation(), lastSequence, encoded));
    }

    /** Authenticates and decodes a datagram; rejects a replayed one. */
    Packet decodeDatagram(ByteBuffer datagram) throws RejectedFrameException {
        FrameAuthenticator.AuthenticatedFrame frame =
                authenticator.decode(datagram, MAX_DATAGRAM_BYTES);
        Packet packet = decode(frame);
        if (frame.generation() != packet.incarnation().generation()) {
            throw new RejectedFrameException(RejectionReason.MALFORMED);
        }
        if (!packet.sender().equals(self)) {
            replayWindow.accept(packet.sender(), frame.generation(), frame.sequence());
        }
        return packet;
    }

    /** Decodes the packet in an authenticated frame. */
    Packet decode(FrameAuthenticator.AuthenticatedFrame frame) throws RejectedFrameException {
        return PacketCodec.decode(frame.packet(), frame.version());
    }
}
