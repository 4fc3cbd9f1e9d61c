package cairnbridge.fleet.transport;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * The frame around each message: a header of 28 bytes, the packet, and the first 16 bytes of an
 * HMAC-SHA-256 (RFC 2104) over both. The header consists of a magic number (2 bytes), the protocol
 * version (1), a zero (1), the cluster (4), the generation of the sender (8), a sequence number (8)
 * and the length of the packet (4). Not thread-safe.
 */
final class FrameAuthenticator {
    static final int HEADER_BYTES = 28;
    static final int MAC_BYTES = 16;
    static final int OLDEST_VERSION = 1;
    static final int NEWEST_VERSION = 2;
    static final int MAGIC_BYTES = Short.BYTES;
    private static final short MAGIC = (short) 0xCB1D;
    private static final int VERSION_OFFSET = 2;
    private static final int CLUSTER_OFFSET = 4;
    private static final int GENERATION_OFFSET = 8;
    private static final int SEQUENCE_OFFSET = 16;
    private static final int LENGTH_OFFSET = 24;
    private static final String MAC_ALGORITHM = "HmacSHA256";
    private static final String HASH_ALGORITHM = "SHA-256";

    /**
     * The content of a frame that was authenticated.
     *
     * @param generation the generation of the sender
     * @param sequence unique within that generation
     */
    record AuthenticatedFrame(int version, long generation, long sequence, byte[] packet) {}

    private final Mac mac;
    private final int cluster;
    private final int newestVersion;

    /**
     * Creates an authenticator for the frames of one cluster.
     *
     * @param newestVersion the newest protocol version that is accepted
     */
    FrameAuthenticator(String clusterName, byte[] secret, int newestVersion) {
        this.newestVersion = newestVersion;
        byte[] name = clusterName.getBytes(StandardCharsets.UTF_8);
        try {
            MessageDigest hash = MessageDigest.getInstance(HASH_ALGORITHM);
            cluster = ByteBuffer.wrap(hash.digest(name)).getInt();
            hash.update(name);
            hash.update((byte) 0);
            mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(new SecretKeySpec(hash.digest(secret), MAC_ALGORITHM));
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("every Java platform has these algorithms", e);
        }
    }

    /** Encodes a frame and appends its authentication code. */
    ByteBuffer encode(AuthenticatedFrame frame) {
        byte[] packet = frame.packet();
        ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + packet.length + MAC_BYTES);
        out.putShort(MAGIC)
                .put((byte) frame.version())
                .put((byte) 0)
                .putInt(cluster)
                .putLong(frame.generation())
                .putLong(frame.sequence())
                .putInt(packet.length)
                .put(packet);
        mac.update(out.array(), 0, HEADER_BYTES + packet.length);
        out.put(mac.doFinal(), 0, MAC_BYTES);
        return out.flip();
    }

    /**
     * Reads the length of a whole frame from its header.
     *
     * @param maxPacketBytes longer packets are rejected
     */
    int frameLength(ByteBuffer header, int maxPacketBytes) throws RejectedFrameException {
        if (header.remaining() < MAGIC_BYTES || header.getShort(header.position()) != MAGIC) {
            throw new RejectedFrameException(RejectionReason.FOREIGN);
        }
        if (header.remaining() < HEADER_BYTES) {
            throw new RejectedFrameException(RejectionReason.CUT_SHORT);
        }
        int start = header.position();
        if (header.getInt(start + CLUSTER_OFFSET) != cluster) {
            throw new RejectedFrameException(RejectionReason.OTHER_CLUSTER);
        }
        int version = header.get(start + VERSION_OFFSET);
        if (version < OLDEST_VERSION || version > newestVersion) {
            throw new RejectedFrameException(RejectionReason.UNKNOWN_VERSION);
        }
        int length = header.getInt(start + LENGTH_OFFSET);
        if (length < 0 || length > maxPacketBytes) {
            throw new RejectedFrameException(RejectionReason.MALFORMED);
        }
        return HEADER_BYTES + length + MAC_BYTES;
    }

    /** Verifies the authentication code of one whole frame and returns the frame's content. */
    AuthenticatedFrame decode(ByteBuffer in, int maxPacketBytes) throws RejectedFrameException {
        int length = frameLength(in, maxPacketBytes);
        if (in.remaining() != length) {
            throw new RejectedFrameException(
                    in.remaining() < length
                            ? RejectionReason.CUT_SHORT
                            : RejectionReason.MALFORMED);
        }
        byte[] bytes = new byte[length];
        in.get(bytes);
        verify(bytes);
        ByteBuffer header = ByteBuffer.wrap(bytes);
        return new AuthenticatedFrame(
                bytes[VERSION_OFFSET],
                header.getLong(GENERATION_OFFSET),
                header.getLong(SEQUENCE_OFFSET),
                Arrays.copyOfRange(bytes, HEADER_BYTES, length - MAC_BYTES));
    }

    private void verify(byte[] frame) throws RejectedFrameException {
        int macOffset = frame.length - MAC_BYTES;
        mac.update(frame, 0, macOffset);
        byte[] expected = Arrays.copyOf(mac.doFinal(), MAC_BYTES);
        byte[] actual = Arrays.copyOfRange(frame, macOffset, frame.length);
        if (!MessageDigest.isEqual(expected, actual)) {
            throw new RejectedFrameException(RejectionReason.FORGED);
        }
    }
}
