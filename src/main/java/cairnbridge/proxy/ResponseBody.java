package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The body of one response of a server: buffered at first, and streamed through a pipe from the
 * moment at which either thread begins to. The reactor's thread receives it; the coordinator thread
 * may begin to stream it.
 */
final class ResponseBody {
    private final ClientExchange exchange;
    private final BufferedBody buffer;

    /** Whether the buffered bytes were taken or released, so that they are not streamed. */
    @GuardedBy("this")
    private boolean ended;

    /** Null while the body is buffered. */
    private volatile BodyPipe pipe;

    /**
     * Creates a body of which nothing is received.
     *
     * @param entity the body's description in the head of the response; null if there is no body
     */
    ResponseBody(ClientExchange exchange, EntityDetails entity) {
        this.exchange = exchange;
        buffer = new BufferedBody(exchange.answerMemory(), entity);
    }

    boolean isStreamed() {
        return pipe != null;
    }

    /** The pipe of a streamed body; null while it is buffered. */
    BodyPipe pipe() {
        return pipe;
    }

    /**
     * Buffers all bytes of the source; false, and nothing buffered, if they have to be streamed.
     */
    synchronized boolean tryBuffer(ByteBuffer source) {
        return pipe == null && buffer.tryAppend(source);
    }

    /**
     * Begins to stream, first the bytes buffered so far.
     *
     * @param lengthBytes the length of the body; negative if it is unknown
     * @return the new pipe; null if the body was streamed before or has ended
     */
    synchronized BodyPipe startStreaming(long lengthBytes) {
        if (pipe != null || ended) {
            return null;
        }
        BodyPipe created = exchange.createPipe(lengthBytes);
        created.append(ByteBuffer.wrap(buffer.toByteArray()));
        buffer.release();
        pipe = created;
        return created;
    }

    /** Reserves memory for the server's next bytes; false if none is left to buffer them. */
    boolean tryReserve() {
        return pipe != null || buffer.tryReserve(MemoryBudget.GRANT_BYTES);
    }

    /** Grants capacity to the server, at once or when the client has taken what came before. */
    void grantCapacity(CapacityChannel capacity) throws IOException {
        BodyPipe current = pipe;
        if (current == null) {
            capacity.update(MemoryBudget.GRANT_BYTES);
        } else {
            current.requestCapacity(capacity);
        }
    }

    /** Ends a body that is complete; returns its bytes, or null if it is streamed. */
    synchronized byte[] complete() {
        ended = true;
        return pipe == null ? buffer.toByteArray() : null;
    }

    /** Frees the buffered bytes of a body that is not needed, unless it is streamed. */
    synchronized void release() {
        ended = true;
        buffer.release();
    }
}
