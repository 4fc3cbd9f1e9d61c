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

/** What a body that passes through knows of its end while it is written. */
class PipeTest {
    private static final String BODY = "hello";

    /** Notes at each write whether the pipe takes it for the last. */
    private static final class RecordingChannel implements DataStreamChannel {
        private final BodyPipe pipe;
        private final List<Boolean> lastOut = new ArrayList<>();

        RecordingChannel(BodyPipe pipe) {
            this.pipe = pipe;
        }

        @Override
        public int write(ByteBuffer source) {
            int count = source.remaining();
            lastOut.add(pipe.isWritingLastChunk());
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

    /** Guards against a client's next request refused because the client knew the end first. */
    @ParameterizedTest
    @CsvSource({"5, true", "6, false", "-1, false"})
    void theLastByteIsKnownByTheLengthBeforeTheGiverEnds(long length, boolean last)
            throws IOException {
        BodyPipe pipe = new BodyPipe(new AtomicLong(), length);
        RecordingChannel taker = new RecordingChannel(pipe);

        pipe.append(ByteBuffer.wrap(BODY.getBytes(StandardCharsets.US_ASCII)));
        pipe.writeTo(taker);

        assertEquals(List.of(last), taker.lastOut);
    }
}
