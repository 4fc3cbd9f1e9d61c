package cairnbridge.proxy;

import java.io.IOException;
import java.util.function.LongSupplier;

/** Reads a streamed body beyond the one buffer that a turn of the reactor reads. */
public final class ReadLoop {
    private static final int MAX_EXTRA_READS = 15;
    private static final long NOT_READABLE = -1;

    private ReadLoop() {}

    /** Reads one more buffer from a connection. */
    @FunctionalInterface
    public interface BufferReader {
        /**
         * Reads what there is, up to one buffer.
         *
         * @throws IOException if the connection has failed
         */
        void readMore() throws IOException;
    }

    /**
     * Reads on until no more has come, or the limit of a turn is reached. Guards against a turn of
     * the reactor for every buffer of a streamed body. Called on the reactor's thread.
     *
     * @param reader reads the next buffer
     * @param streamedBytesIfReadable the bytes of the body so far, or less than 0 if it is not
     *     streamed or takes no more for now
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
