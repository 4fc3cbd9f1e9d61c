package cairnbridge.fleet.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.Fixtures;
import cairnbridge.fleet.FleetFixtures;
import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes to the wire format between members: compares frames and metadata with
 * fixtures that an earlier version encoded.
 */
class GossipFormatTest {
    private static final long GENERATION = 1_700_000_000_003L;
    private static final long DIGEST = -99;
    private static final int FIRST_SEQUENCE = 100;
    private static final int MAX_PACKET_BYTES = 100_000;
    private final FrameAuthenticator authenticator =
            new FrameAuthenticator(
                    "fixture-cluster", "sixteen bytes or more".getBytes(StandardCharsets.UTF_8), 2);

    private static Map<String, Message> messages() {
        MemberId target = new MemberId("proxy-b");
        Endpoint endpoint = new Endpoint("10.20.30.41", 7947);
        List<MemberState> members = FleetFixtures.members();
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("ping", new Message.Ping(Long.MAX_VALUE, target, members));
        messages.put("ack", new Message.Ack(1, members));
        messages.put("indirect-ping", new Message.PingRequest(2, target, endpoint, members));
        messages.put("nack", new Message.Nack(3, members));
        messages.put("gossip", new Message.Gossip(members));
        messages.put("digest", new Message.Digest(List.of(Long.MIN_VALUE, 0L, 3L)));
        messages.put("entries", new Message.StateTransfer(List.of(0, 255), members));
        messages.put("word", new Message.ApplicationMessage("zones-vote", new byte[] {1, -2, 3}));
        return messages;
    }

    private static Packet packet(Message message, long digest) {
        return new Packet(
                new MemberId("proxy-a"),
                new Endpoint("10.20.30.41", 7947),
                new Incarnation(GENERATION, 4),
                digest,
                message);
    }

    @Test
    void encodedFramesMatchFixtures() throws Exception {
        int sequence = FIRST_SEQUENCE;
        for (Map.Entry<String, Message> entry : messages().entrySet()) {
            for (int version = 1; version <= 2; version++) {
                byte[] encoded =
                        PacketCodec.encode(
                                packet(entry.getValue(), DIGEST), version, MAX_PACKET_BYTES);
                ByteBuffer frame =
                        authenticator.encode(
                                new FrameAuthenticator.AuthenticatedFrame(
                                        version, GENERATION, sequence++, encoded));
                byte[] bytes = new byte[frame.remaining()];
                frame.get(bytes);
                String name = entry.getKey() + "-v" + version;
                assertArrayEquals(Fixtures.bytes("gossip/" + name + ".frame"), bytes, name);
            }
        }
    }

    @Test
    void fixtureFramesAreDecoded() throws Exception {
        int sequence = FIRST_SEQUENCE;
        for (Map.Entry<String, Message> entry : messages().entrySet()) {
            for (int version = 1; version <= 2; version++) {
                String name = entry.getKey() + "-v" + version;
                ByteBuffer frame = ByteBuffer.wrap(Fixtures.bytes("gossip/" + name + ".frame"));
                FrameAuthenticator.AuthenticatedFrame decodedFrame =
                        authenticator.decode(frame, MAX_PACKET_BYTES);
                assertEquals(version, decodedFrame.version(), name);
                assertEquals(GENERATION, decodedFrame.generation(), name);
                assertEquals(sequence++, decodedFrame.sequence(), name);
                Packet packet = PacketCodec.decode(decodedFrame.packet(), version);
                long digest = version == 1 ? 0 : DIGEST;
                if (entry.getValue() instanceof Message.ApplicationMessage expected) {
                    Message.ApplicationMessage actual =
                            (Message.ApplicationMessage) packet.message();
                    assertEquals(expected.topic(), actual.topic());
                    assertArrayEquals(expected.payload(), actual.payload());
                } else {
                    assertEquals(packet(entry.getValue(), digest), packet, name);
                }
            }
        }
    }

    @Test
    void metadataMatchesFixtures() throws Exception {
        byte[] full = Fixtures.bytes("gossip/metadata-full.cbor");
        byte[] minimal = Fixtures.bytes("gossip/metadata-plain.cbor");
        assertArrayEquals(full, FleetFixtures.fullMetadata().encoded());
        assertArrayEquals(minimal, FleetFixtures.minimalMetadata().encoded());

        MemberMetadata decoded = MemberMetadata.ofEncoded(full);
        MemberMetadata expected = FleetFixtures.fullMetadata();
        assertEquals("zone-a", decoded.zone());
        assertEquals("region-1", decoded.region());
        assertEquals(2, decoded.protocolVersion());
        assertEquals(MemberMetadata.Lifecycle.DRAINING, decoded.lifecycle());
        assertEquals("10.0.0.1:80", decoded.clientAddress());
        assertEquals("10.0.0.1:9901", decoded.adminAddress());
        assertEquals(12, decoded.planEpoch());
        assertEquals(expected.recovery(), decoded.recovery());
        assertEquals(expected.metrics(), decoded.metrics());
    }
}
