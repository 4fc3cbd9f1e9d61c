package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How a {@link BodyPipe} determines that it is writing the last chunk of a body. */
class PipeTest {
    private static final String BODY = "hello";

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
        BodyPipe pipe = new BodyPipe(new AtomicLong(), length);
        RecordingChannel channel = new RecordingChannel(pipe);

        pipe.append(ByteBuffer.wrap(BODY.getBytes(StandardCharsets.US_ASCII)));
        pipe.writeTo(channel);

        assertEquals(List.of(expectedLast), channel.lastChunkFlags);
    }
}
