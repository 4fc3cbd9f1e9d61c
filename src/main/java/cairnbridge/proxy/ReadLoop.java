package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.LongSupplier;

/** Reads more of a streamed body per read event than the one buffer that the library reads. */
public final class ReadLoop {
    private static final int MAX_EXTRA_READS = 15;
    private static final long NOT_READABLE = -1;

    private ReadLoop() {}

    /** Reads one more buffer from a connection. */
    @FunctionalInterface
    public interface BufferReader {
        /**
         * Reads the available bytes, up to one buffer.
         *
         * @throws IOException if the connection has failed
         */
        void readMore() throws IOException;
    }

    /**
     * Reads until a read makes no progress, or the limit per read event is reached. Guards against
     * a select cycle of the reactor for each buffer of a streamed body. Called on the reactor's
     * thread.
     *
     * @param reader reads the next buffer
     * @param streamedBytesIfReadable returns the number of bytes of the body received so far, or
     *     less than 0 if the body is not streamed or no more of it can be read now
     * @throws IOException if the connection has failed
     */
    public static void readWhileProgressing(
            BufferReader reader, LongSupplier streamedBytesIfReadable) throws IOException {
        long received = streamedBytesIfReadable.getAsLong();
        for (int i = 0; i < MAX_EXTRA_READS && received >= 0; i++) {
            reader.readMore();
            long receivedNow = streamedBytesIfReadable.getAsLong();
            received = receivedNow > received ? receivedNow : NOT_READABLE;
        }
    }
}
