package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The memory that {@link BodyPipe}s occupy, and how one recognises the last chunk of a body. */
class PipeTest {
    private static final String BODY = "hello";
    private static final int BUDGET_BYTES = 1 << 20;
    private static final int READ_BYTES = 4096;

    /** A connection whose producer sends as much as it is granted, in reads of a buffer each. */
    private static final class EagerProducer implements CapacityChannel {
        private final BodyPipe pipe;
        private int grantedBytes = READ_BYTES;

        EagerProducer(BodyPipe pipe) {
            this.pipe = pipe;
        }

        @Override
        public void update(int increment) {
            grantedBytes += increment;
        }

        /** Sends all that is granted, then asks for more. */
        void produce() throws IOException {
            while (grantedBytes > 0) {
                pipe.append(ByteBuffer.allocate(READ_BYTES));
                grantedBytes -= READ_BYTES;
                if (grantedBytes <= 0) {
                    pipe.requestCapacity(this);
                }
            }
        }
    }

    /** A connection that accepts a limited number of bytes at each write event. */
    private static final class SlowConsumer implements DataStreamChannel {
        private int acceptableBytes;

        void consume(BodyPipe pipe, int bytes) throws IOException {
            acceptableBytes = bytes;
            pipe.writeTo(this);
        }

        @Override
        public int write(ByteBuffer source) {
            int count = Math.min(acceptableBytes, source.remaining());
            acceptableBytes -= count;
            source.position(source.position() + count);
            return count;
        }

        @Override
        public void requestOutput() {}

        @Override
        public void endStream() {}

        @Override
        public void endStream(List<? extends Header> trailers) {}
    }

    /** One body on its way from a fast server to a slow client. */
    private static final class Stream {
        private final BodyPipe pipe;
        private final EagerProducer producer;
        private final SlowConsumer consumer = new SlowConsumer();

        Stream(RequestMemory memory) {
            pipe = new BodyPipe(memory, -1);
            producer = new EagerProducer(pipe);
        }

        void transfer(int consumedBytes) throws IOException {
            producer.produce();
            consumer.consume(pipe, consumedBytes);
        }
    }

    private static long sumOfRings(List<Stream> streams) {
        return streams.stream().mapToLong(stream -> stream.pipe.occupiedBytes()).sum();
    }

    /** Guards against the end of the process as hundreds of clients read long answers slowly. */
    @Test
    void theRingsOfManySlowConsumersStayWithinTheBudgetInSum() throws IOException {
        MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            streams.add(new Stream(new RequestMemory(budget)));
        }
        long mostBytes =
                BUDGET_BYTES + streams.size() * (BodyPipe.NARROW_WINDOW_BYTES + 2L * READ_BYTES);

        for (int round = 0; round < 100; round++) {
            for (Stream stream : streams) {
                stream.transfer(10_000);
            }
            assertTrue(sumOfRings(streams) <= mostBytes, "rings hold " + sumOfRings(streams));
            assertTrue(sumOfRings(streams) <= budget.reservedBytes(), "not all is counted");
        }
    }

    /** Guards against streams that stay slow after a crowd of slow consumers has left. */
    @Test
    void aPipeHasAWholeWindowAgainOnceMemoryIsFree() throws IOException {
        MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
        RequestMemory crowd = new RequestMemory(budget);
        crowd.reserve(BUDGET_BYTES);
        Stream stream = new Stream(new RequestMemory(budget));
        stream.transfer(0);
        stream.transfer(BodyPipe.WINDOW_BYTES);
        stream.transfer(0);
        assertTrue(stream.pipe.availableBytes() <= BodyPipe.NARROW_WINDOW_BYTES + READ_BYTES);

        crowd.close();
        stream.transfer(BodyPipe.WINDOW_BYTES);
        stream.transfer(0);

        assertTrue(stream.pipe.availableBytes() > BodyPipe.WINDOW_BYTES / 2);
    }

    /** Guards against a budget that shrinks with each request, because a part is not returned. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aPipeReturnsItsMemoryAtItsEnd(boolean discarded) throws IOException {
        MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
        Stream stream = new Stream(new RequestMemory(budget));
        stream.transfer(0);
        assertTrue(budget.reservedBytes() > 0);

        if (discarded) {
            stream.pipe.discard();
        } else {
            stream.pipe.finish();
            stream.consumer.consume(stream.pipe, Integer.MAX_VALUE);
        }

        assertEquals(0, budget.reservedBytes());
        assertEquals(0, stream.pipe.occupiedBytes());
    }

    /** Records at each write whether the pipe reports it as the last chunk. */
    private static final class RecordingChannel implements DataStreamChannel {
        private final BodyPipe pipe;
        private final List<Boolean> lastChunkFlags = new ArrayList<>();

        RecordingChannel(BodyPipe pipe) {
            this.pipe = pipe;
        }

        @Override
        public int write(ByteBuffer source) {
            int count = source.remaining();
            lastChunkFlags.add(pipe.isWritingLastChunk());
            source.position(source.limit());
            return count;
        }

        @Override
        public void requestOutput() {}

        @Override
        public void endStream() {}

        @Override
        public void endStream(List<? extends Header> trailers) {}
    }

    /**
     * Guards against rejecting the client's next request: a client that knows the length may send
     * it before the pipe's producer has called finish().
     */
    @ParameterizedTest
    @CsvSource({"5, true", "6, false", "-1, false"})
    void theLastChunkIsDeterminedByTheLengthBeforeTheProducerFinishes(
            long length, boolean expectedLast) throws IOException {
        BodyPipe pipe = new BodyPipe(new RequestMemory(new MemoryBudget(BUDGET_BYTES)), length);
        RecordingChannel channel = new RecordingChannel(pipe);

        pipe.append(ByteBuffer.wrap(BODY.getBytes(StandardCharsets.US_ASCII)));
        pipe.writeTo(channel);

        assertEquals(List.of(expectedLast), channel.lastChunkFlags);
    }
}
