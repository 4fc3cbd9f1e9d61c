package cairnbridge.fleet.transport;

import static cairnbridge.cbor.CborReader.readBytes;
import static cairnbridge.cbor.CborReader.readLong;
import static cairnbridge.cbor.CborReader.readText;
import static cairnbridge.cbor.CborReader.require;

import cairnbridge.fleet.member.Endpoint;
import cairnbridge.fleet.member.Incarnation;
import cairnbridge.fleet.member.MemberId;
import cairnbridge.fleet.member.MemberMetadata;
import cairnbridge.fleet.member.MemberState;
import cairnbridge.fleet.member.MemberStatus;
import cairnbridge.fleet.member.Message;
import cairnbridge.fleet.member.Packet;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes packets as CBOR (RFC 8949): an array of the sender, its endpoint, generation and
 * refutation, the view digest (from protocol version 2 on), the kind of message, the fields of that
 * kind, and the updates, each a nested array. Unknown fields at the end of a packet or of an update
 * are ignored.
 */
final class PacketCodec {
    /** A packet with more updates or partitions is malformed; no fleet has that many members. */
    private static final int MAX_ELEMENTS = 100_000;

    private static final int VERSION_WITH_DIGEST = 2;
    private static final int INITIAL_BYTES = 256;
    private static final CBORFactory CBOR = new CBORFactory();

    /** The kinds of message; the ordinals are part of the protocol. */
    private enum Kind {
        PING,
        ACK,
        PING_REQUEST,
        NACK,
        GOSSIP,
        DIGEST,
        STATE_TRANSFER,
        APPLICATION_MESSAGE
    }

    private PacketCodec() {}

    // Encoding.

    /**
     * Encodes a packet; updates are left out from the end of the list until the packet fits into
     * {@code maxBytes}.
     */
    static byte[] encode(Packet packet, int version, int maxBytes) {
        List<MemberState> updates = packet.message().updates();
        byte[] bytes = encode(packet, version, updates);
        for (int count = updates.size(); bytes.length > maxBytes && count > 0; count--) {
            bytes = encode(packet, version, updates.subList(0, count - 1));
        }
        return bytes;
    }

    private static byte[] encode(Packet packet, int version, List<MemberState> updates) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeString(packet.sender().name());
            writeEndpoint(generator, packet.endpoint());
            writeIncarnation(generator, packet.incarnation());
            if (version >= VERSION_WITH_DIGEST) {
                generator.writeNumber(packet.viewDigest());
            }
            writeMessage(generator, packet.message());
            generator.writeStartArray();
            for (MemberState update : updates) {
                writeState(generator, update);
            }
            generator.writeEndArray();
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Writes to memory do not fail.
        }
        return out.toByteArray();
    }

    private static void writeEndpoint(CBORGenerator generator, Endpoint endpoint)
            throws IOException {
        generator.writeString(endpoint.host());
        generator.writeNumber(endpoint.port());
    }

    private static void writeIncarnation(CBORGenerator generator, Incarnation incarnation)
            throws IOException {
        generator.writeNumber(incarnation.generation());
        generator.writeNumber(incarnation.refutation());
    }

    private static void writeKind(CBORGenerator generator, Kind kind) throws IOException {
        generator.writeNumber(kind.ordinal());
    }

    private static void writeMessage(CBORGenerator generator, Message message) throws IOException {
        if (message instanceof Message.Ping ping) {
            writeKind(generator, Kind.PING);
            generator.writeNumber(ping.sequence());
            generator.writeString(ping.target().name());
        } else if (message instanceof Message.Ack ack) {
            writeKind(generator, Kind.ACK);
            generator.writeNumber(ack.sequence());
        } else if (message instanceof Message.PingRequest request) {
            writeKind(generator, Kind.PING_REQUEST);
            generator.writeNumber(request.sequence());
            generator.writeString(request.target().name());
            writeEndpoint(generator, request.targetEndpoint());
        } else if (message instanceof Message.Nack nack) {
            writeKind(generator, Kind.NACK);
            generator.writeNumber(nack.sequence());
        } else if (message instanceof Message.Gossip) {
            writeKind(generator, Kind.GOSSIP);
        } else if (message instanceof Message.Digest digest) {
            writeKind(generator, Kind.DIGEST);
            writeNumbers(generator, digest.partitionHashes());
        } else if (message instanceof Message.ApplicationMessage application) {
            writeKind(generator, Kind.APPLICATION_MESSAGE);
            generator.writeString(application.topic());
            generator.writeBinary(application.payload());
        } else if (message instanceof Message.StateTransfer transfer) {
            writeKind(generator, Kind.STATE_TRANSFER);
            writeNumbers(generator, transfer.partitions());
        }
    }

    private static void writeNumbers(CBORGenerator generator, List<? extends Number> numbers)
            throws IOException {
        generator.writeStartArray();
        for (Number number : numbers) {
            generator.writeNumber(number.longValue());
        }
        generator.writeEndArray();
    }

    private static void writeState(CBORGenerator generator, MemberState state) throws IOException {
        generator.writeStartArray();
        generator.writeString(state.id().name());
        writeEndpoint(generator, state.endpoint());
        writeIncarnation(generator, state.incarnation());
        generator.writeNumber(state.status().ordinal());
        generator.writeString(state.reportedBy() == null ? "" : state.reportedBy().name());
        generator.writeNumber(state.metadataVersion());
        if (state.metadata() == null) {
            generator.writeNull();
        } else {
            generator.writeBinary(state.metadata().encoded());
        }
        generator.writeEndArray();
    }

    // Decoding.

    /** Decodes a packet; bytes that are not a whole packet are rejected. */
    static Packet decode(byte[] bytes, int version) throws RejectedFrameException {
        try (JsonParser parser = CBOR.createParser(bytes)) {
            require(parser.nextToken() == JsonToken.START_ARRAY);
            MemberId sender = new MemberId(readText(parser));
            Endpoint endpoint = readEndpoint(parser);
            Incarnation incarnation = readIncarnation(parser);
            long digest = version >= VERSION_WITH_DIGEST ? readLong(parser) : 0;
            return new Packet(sender, endpoint, incarnation, digest, readMessage(parser));
        } catch (IOException | RuntimeException e) {
            // RuntimeException: from the records' checks of their values, or from Jackson.
            throw new RejectedFrameException(RejectionReason.MALFORMED);
        }
    }

    private static Message readMessage(JsonParser parser) throws IOException {
        return switch (readConstant(parser, Kind.values())) {
            case PING -> new Message.Ping(readLong(parser), readId(parser), readStates(parser));
            case ACK -> new Message.Ack(readLong(parser), readStates(parser));
            case PING_REQUEST ->
                    new Message.PingRequest(
                            readLong(parser),
                            readId(parser),
                            readEndpoint(parser),
                            readStates(parser));
            case NACK -> new Message.Nack(readLong(parser), readStates(parser));
            case GOSSIP -> new Message.Gossip(readStates(parser));
            case DIGEST -> new Message.Digest(readNumbers(parser));
            case APPLICATION_MESSAGE ->
                    new Message.ApplicationMessage(readText(parser), readBytes(parser));
            case STATE_TRANSFER ->
                    new Message.StateTransfer(
                            readNumbers(parser).stream().map(Long::intValue).toList(),
                            readStates(parser));
        };
    }

    /** Reads the ordinal of an enum constant and returns the constant. */
    private static <T> T readConstant(JsonParser parser, T[] constants) throws IOException {
        int ordinal = (int) readLong(parser);
        require(ordinal >= 0 && ordinal < constants.length);
        return constants[ordinal];
    }

    private static MemberId readId(JsonParser parser) throws IOException {
        return new MemberId(readText(parser));
    }

    private static Endpoint readEndpoint(JsonParser parser) throws IOException {
        return new Endpoint(readText(parser), (int) readLong(parser));
    }

    private static Incarnation readIncarnation(JsonParser parser) throws IOException {
        return new Incarnation(readLong(parser), (int) readLong(parser));
    }

    private static List<Long> readNumbers(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.START_ARRAY);
        List<Long> numbers = new ArrayList<>();
        while (parser.nextToken() == JsonToken.VALUE_NUMBER_INT) {
            require(numbers.size() < MAX_ELEMENTS);
            numbers.add(parser.getLongValue());
        }
        require(parser.currentToken() == JsonToken.END_ARRAY);
        return numbers;
    }

    private static List<MemberState> readStates(JsonParser parser) throws IOException {
        require(parser.nextToken() == JsonToken.START_ARRAY);
        List<MemberState> states = new ArrayList<>();
        while (parser.nextToken() == JsonToken.START_ARRAY) {
            require(states.size() < MAX_ELEMENTS);
            states.add(readState(parser));
        }
        require(parser.currentToken() == JsonToken.END_ARRAY);
        return states;
    }

    private static MemberState readState(JsonParser parser) throws IOException {
        MemberId id = readId(parser);
        Endpoint endpoint = readEndpoint(parser);
        Incarnation incarnation = readIncarnation(parser);
        MemberStatus status = readConstant(parser, MemberStatus.values());
        String reporter = readText(parser);
        long metadataVersion = readLong(parser);
        MemberMetadata metadata = readMetadata(parser);
        skipToEndOfArray(parser);
        return new MemberState(
                id,
                endpoint,
                incarnation,
                status,
                reporter.isEmpty() ? null : new MemberId(reporter),
                metadataVersion,
                metadata);
    }

    /** Reads the metadata of a member state; null if it has none. */
    private static MemberMetadata readMetadata(JsonParser parser) throws IOException {
        JsonToken token = parser.nextToken();
        require(token == JsonToken.VALUE_NULL || token == JsonToken.VALUE_EMBEDDED_OBJECT);
        return token == JsonToken.VALUE_NULL
                ? null
                : MemberMetadata.ofEncoded(parser.getBinaryValue());
    }

    private static void skipToEndOfArray(JsonParser parser) throws IOException {
        for (JsonToken token = parser.nextToken();
                token != JsonToken.END_ARRAY;
                token = parser.nextToken()) {
            require(token != null);
            parser.skipChildren();
        }
    }
}
