package cairnbridge.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberMetrics;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;

/** Tests the encoding of packets, and how corrupted, foreign and replayed frames are rejected. */
class PacketCodecTest {
    private static final Endpoint ENDPOINT = new Endpoint("10.20.30.40", 7946);
    private static final MemberId SENDER = new MemberId("proxy-1");
    private static final MemberId OTHER = new MemberId("proxy-2");
    private static final MemberMetadata METADATA =
            MemberMetadata.builder()
                    .location("zone-a", "region")
                    .protocolVersion(2)
                    .clientAddress("10.0.0.1:80")
                    .metrics(
                            new MemberMetrics(
                                    new MemberMetrics.Load(7, 100, 0),
                                    new MemberMetrics.EndpointListStatus(41, true),
                                    new MemberMetrics.Reachability(
                                            List.of(-1L, 5L), List.of(), List.of())))
                    .build();
    private static final byte[] SECRET = "sixteen bytes or more".getBytes(StandardCharsets.UTF_8);
    private final FrameAuthenticator authenticator = new FrameAuthenticator("cluster", SECRET, 2);

    private static List<MemberState> states(int count) {
        List<MemberState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            MemberStatus status = MemberStatus.values()[i % 4];
            states.add(
                    new MemberState(
                            new MemberId("m" + i),
                            ENDPOINT,
                            new Incarnation(Long.MAX_VALUE - i, i),
                            status,
                            status == MemberStatus.SUSPECT ? OTHER : null,
                            i * 1_000_000_007L,
                            i % 2 == 0 ? METADATA : null));
        }
        return states;
    }

    private static List<Packet> packets() {
        List<Message> messages =
                List.of(
                        new Message.Ping(Long.MAX_VALUE, OTHER, states(3)),
                        new Message.Ack(1, states(0)),
                        new Message.PingRequest(2, OTHER, ENDPOINT, states(1)),
                        new Message.Nack(3, states(2)),
                        new Message.Gossip(states(5)),
                        new Message.Digest(List.of(Long.MIN_VALUE, 0L, 3L)),
                        new Message.StateTransfer(List.of(0, 255), states(9)));
        return messages.stream()
                .map(message -> new Packet(SENDER, ENDPOINT, new Incarnation(3, 4), -99, message))
                .toList();
    }

    @Test
    void encodedPacketsDecodeToEqualPackets() throws RejectedFrameException {
        for (Packet packet : packets()) {
            assertEquals(packet, PacketCodec.decode(PacketCodec.encode(packet, 2, 100_000), 2));
            Packet version1 = PacketCodec.decode(PacketCodec.encode(packet, 1, 100_000), 1);
            assertEquals(0, version1.viewDigest(), "protocol version 1 has no digest");
            assertEquals(packet.message(), version1.message());
        }
    }

    @Test
    void updatesThatDoNotFitAreLeftOutAndSizeEstimatesAreUpperBounds()
            throws RejectedFrameException {
        Packet packet =
                new Packet(
                        SENDER,
                        ENDPOINT,
                        new Incarnation(3, 4),
                        -99,
                        new Message.Gossip(states(60)));
        byte[] bytes = PacketCodec.encode(packet, 2, 1_000);
        assertTrue(bytes.length <= 1_000 && bytes.length > 800, "encoded length " + bytes.length);
        assertTrue(PacketCodec.decode(bytes, 2).message().updates().size() > 3);
        int emptyLength =
                PacketCodec.encode(
                                new Packet(
                                        SENDER,
                                        ENDPOINT,
                                        new Incarnation(3, 4),
                                        -99,
                                        new Message.Gossip(List.of())),
                                2,
                                1_000)
                        .length;
        for (MemberState state : states(40)) {
            int size =
                    PacketCodec.encode(
                                            new Packet(
                                                    SENDER,
                                                    ENDPOINT,
                                                    new Incarnation(3, 4),
                                                    -99,
                                                    new Message.Gossip(List.of(state))),
                                            2,
                                            10_000)
                                    .length
                            - emptyLength;
            assertTrue(
                    size <= state.maxEncodedBytes(),
                    state + " takes " + size + " bytes, estimated as " + state.maxEncodedBytes());
        }
    }

    /**
     * Guards against corrupted or foreign bytes that make the decoder throw anything but a
     * rejection as malformed.
     */
    @Test
    void corruptedBytesDecodeOrAreRejectedAsMalformed() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(5);
        for (int i = 0; i < 20_000; i++) {
            byte[] bytes = PacketCodec.encode(packets().get(i % 7), 2, 100_000);
            for (int changed = 0; changed < 1 + i % 4; changed++) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            }
            byte[] input =
                    i % 3 == 0
                            ? java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length))
                            : bytes;
            try {
                PacketCodec.decode(input, 2);
            } catch (RejectedFrameException e) {
                assertEquals(RejectionReason.MALFORMED, e.reason());
            }
        }
    }

    private void assertRejected(RejectionReason expected, ByteBuffer bytes) {
        assertEquals(
                expected,
                assertThrows(
                                RejectedFrameException.class,
                                () -> authenticator.decode(bytes, 10_000))
                        .reason());
    }

    @Test
    void invalidFramesAreRejectedWithTheirReason() throws RejectedFrameException {
        byte[] packet = {1, 2, 3};
        ByteBuffer valid =
                authenticator.encode(new FrameAuthenticator.AuthenticatedFrame(2, 77, 5, packet));
        assertArrayEquals(packet, authenticator.decode(valid.duplicate(), 10_000).packet());
        assertRejected(
                RejectionReason.FOREIGN,
                ByteBuffer.wrap(
                        "GET / HTTP/1.1\r\n\r\n and more than a header's bytes"
                                .getBytes(StandardCharsets.UTF_8)));
        assertRejected(RejectionReason.FOREIGN, ByteBuffer.allocate(0));
        for (int length = 2; length < valid.remaining(); length++) {
            assertRejected(RejectionReason.CUT_SHORT, valid.duplicate().limit(length));
        }
        assertRejected(
                RejectionReason.OTHER_CLUSTER,
                new FrameAuthenticator("another", SECRET, 2)
                        .encode(new FrameAuthenticator.AuthenticatedFrame(2, 77, 5, packet)));
        assertRejected(
                RejectionReason.FORGED,
                new FrameAuthenticator(
                                "cluster",
                                "another cluster's secret".getBytes(StandardCharsets.UTF_8),
                                2)
                        .encode(new FrameAuthenticator.AuthenticatedFrame(2, 77, 5, packet)));
        assertRejected(
                RejectionReason.UNKNOWN_VERSION,
                authenticator.encode(new FrameAuthenticator.AuthenticatedFrame(3, 77, 5, packet)));
        assertRejected(
                RejectionReason.MALFORMED,
                authenticator.encode(
                        new FrameAuthenticator.AuthenticatedFrame(2, 77, 5, new byte[10_001])));
        for (int offset = 8; offset < valid.remaining(); offset++) {
            ByteBuffer corrupted =
                    ByteBuffer.allocate(valid.remaining()).put(valid.duplicate()).flip();
            corrupted.put(offset, (byte) (corrupted.get(offset) ^ 4));
            assertThrows(
                    RejectedFrameException.class, () -> authenticator.decode(corrupted, 10_000));
        }
    }

    @Test
    void replayedSequenceNumbersAndEarlierGenerationsAreRejected() throws RejectedFrameException {
        ReplayWindow window = new ReplayWindow(2);
        for (long sequence : new long[] {5, 9, 7, 70, 69, 8}) {
            window.accept(SENDER, 10, sequence);
        }
        for (long sequence : new long[] {5, 70, 6, 69, 8, 1}) {
            RejectedFrameException rejection =
                    assertThrows(
                            RejectedFrameException.class,
                            () -> window.accept(SENDER, 10, sequence),
                            "sequence number " + sequence);
            assertEquals(RejectionReason.SEEN_BEFORE, rejection.reason());
        }
        window.accept(SENDER, 11, 1);
        assertEquals(
                RejectionReason.EARLIER_LIFE,
                assertThrows(RejectedFrameException.class, () -> window.accept(SENDER, 10, 99))
                        .reason());
    }

    @Test
    void rateLimiterEnforcesBytesPerSecond() {
        ByteRateLimiter limiter = new ByteRateLimiter(1_000, 0);
        int sent = 0;
        for (long now = 0; now < 100_000; now += 10) {
            sent += limiter.tryAcquire(100, now) ? 100 : 0;
        }
        assertTrue(
                sent >= 10_000 && sent <= 11_000,
                sent + " bytes in 10 s at a limit of 1,000 bytes per second");
    }

    @Test
    void corruptedMetadataIsReadWithinItsLimits() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(9);
        for (int i = 0; i < 5_000; i++) {
            byte[] bytes = METADATA.encoded();
            bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
            MemberMetadata metadata = MemberMetadata.ofEncoded(bytes);
            assertTrue(
                    metadata.metrics().reachability().unreachableNodes().size()
                                    <= MemberMetadata.MAX_UNREACHABLE_NODES
                            && metadata.zone().length() <= 64);
            assertTrue(metadata.protocolVersion() >= 1 && metadata.lifecycle() != null);
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> MemberMetadata.ofEncoded(new byte[MemberMetadata.MAX_BYTES + 1]));
    }
}
