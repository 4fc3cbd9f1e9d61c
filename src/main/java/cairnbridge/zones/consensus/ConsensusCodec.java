package cairnbridge.zones.consensus;

import static cairnbridge.cbor.CborReader.readBytes;
import static cairnbridge.cbor.CborReader.readLong;
import static cairnbridge.cbor.CborReader.readText;
import static cairnbridge.cbor.CborReader.require;

import cairnbridge.zones.plan.Plan;
import cairnbridge.zones.plan.PlanCodec;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Encodes consensus messages and acceptor states as CBOR (RFC 8949): an array of the kind, the
 * ballot, and the fields of that kind.
 */
public final class ConsensusCodec {
    private static final int INITIAL_BYTES = 128;
    private static final CBORFactory CBOR = new CBORFactory();

    /** The kind of an encoded value. The ordinals are part of the wire and file formats. */
    private enum Kind {
        PREPARE,
        PROMISE,
        ACCEPT,
        ACCEPTED,
        REJECTED,
        ACCEPTOR_STATE
    }

    private interface FieldWriter {
        void writeTo(CBORGenerator generator) throws IOException;
    }

    private interface Decoder<T> {
        T decode(Kind kind, Ballot ballot, JsonParser parser) throws IOException;
    }

    private ConsensusCodec() {}

    /** Encodes a message. */
    public static byte[] encode(ConsensusMessage message) {
        if (message instanceof ConsensusMessage.Promise promise) {
            return encode(
                    Kind.PROMISE,
                    promise.ballot(),
                    generator -> {
                        writeBallot(generator, promise.accepted());
                        writePlan(generator, promise.plan());
                    });
        }
        if (message instanceof ConsensusMessage.Accept accept) {
            return encode(
                    Kind.ACCEPT, accept.ballot(), generator -> writePlan(generator, accept.plan()));
        }
        if (message instanceof ConsensusMessage.Rejected rejected) {
            return encode(
                    Kind.REJECTED,
                    rejected.ballot(),
                    generator -> writeBallot(generator, rejected.promised()));
        }
        boolean prepare = message instanceof ConsensusMessage.Prepare;
        Kind kind = prepare ? Kind.PREPARE : Kind.ACCEPTED;
        return encode(kind, message.ballot(), generator -> {});
    }

    /** Encodes a voter's state. */
    public static byte[] encode(AcceptorState state) {
        return encode(
                Kind.ACCEPTOR_STATE,
                state.promised(),
                generator -> {
                    writeBallot(generator, state.accepted());
                    writePlan(generator, state.plan());
                });
    }

    private static byte[] encode(Kind kind, Ballot ballot, FieldWriter fields) {
        ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BYTES);
        try (CBORGenerator generator = CBOR.createGenerator(out)) {
            generator.writeStartArray();
            generator.writeNumber(kind.ordinal());
            writeBallot(generator, ballot);
            fields.writeTo(generator);
            generator.writeEndArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e); // Writes to memory do not fail.
        }
        return out.toByteArray();
    }

    private static void writeBallot(CBORGenerator generator, Ballot ballot) throws IOException {
        generator.writeNumber(ballot.round());
        generator.writeString(ballot.proposer());
    }

    private static void writePlan(CBORGenerator generator, Plan plan) throws IOException {
        generator.writeBinary(PlanCodec.encode(plan));
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the bytes are not an encoded message
     */
    public static ConsensusMessage decodeMessage(byte[] bytes) {
        return decode(bytes, ConsensusCodec::readMessage);
    }

    /**
     * Decodes a voter's state.
     *
     * @throws IllegalArgumentException if the bytes are not an encoded acceptor state
     */
    public static AcceptorState decodeState(byte[] bytes) {
        return decode(bytes, ConsensusCodec::readState);
    }

    private static <T> T decode(byte[] bytes, Decoder<T> decoder) {
        try (JsonParser parser = CBOR.createParser(bytes)) {
            require(parser.nextToken() == JsonToken.START_ARRAY);
            int ordinal = (int) readLong(parser);
            require(ordinal >= 0 && ordinal < Kind.values().length);
            Kind kind = Kind.values()[ordinal];
            T value = decoder.decode(kind, readBallot(parser), parser);
            require(parser.nextToken() == JsonToken.END_ARRAY);
            return value;
        } catch (IOException | RuntimeException e) {
            // RuntimeException: constructors of plans and Jackson reject some malformed input with
            // it.
            throw new IllegalArgumentException("malformed consensus message or acceptor state", e);
        }
    }

    private static ConsensusMessage readMessage(Kind kind, Ballot ballot, JsonParser parser)
            throws IOException {
        return switch (kind) {
            case PREPARE -> new ConsensusMessage.Prepare(ballot);
            case PROMISE ->
                    new ConsensusMessage.Promise(ballot, readBallot(parser), readPlan(parser));
            case ACCEPT -> new ConsensusMessage.Accept(ballot, readPlan(parser));
            case ACCEPTED -> new ConsensusMessage.Accepted(ballot);
            case REJECTED -> new ConsensusMessage.Rejected(ballot, readBallot(parser));
            case ACCEPTOR_STATE -> throw new IOException("an acceptor state is not a message");
        };
    }

    private static AcceptorState readState(Kind kind, Ballot promised, JsonParser parser)
            throws IOException {
        require(kind == Kind.ACCEPTOR_STATE);
        return new AcceptorState(promised, readBallot(parser), readPlan(parser));
    }

    private static Ballot readBallot(JsonParser parser) throws IOException {
        long round = readLong(parser);
        return new Ballot(round, readText(parser));
    }

    private static Plan readPlan(JsonParser parser) throws IOException {
        return PlanCodec.decode(readBytes(parser));
    }
}
