package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The body of one client request: buffered as a whole while it is short, streamed through a pipe
 * once it does not fit into the buffer. Only the reactor's thread writes it. Any thread may read
 * the volatile fields; the coordinator thread reads the bytes after it was notified of the request.
 */
final class RequestBody {
    private static final byte[] NO_BYTES = {};

    /** Null before the head is received, and once the body is complete, streamed or dropped. */
    private BufferedBody buffer;

    /** The length according to the head; negative if it is unknown. */
    private long lengthBytes;

    private byte[] bytes = NO_BYTES;

    /** Null while the body is not streamed. */
    private volatile BodyPipe pipe;

    private volatile long receivedBytes;

    /** Prepares for the body that the head has announced. */
    void expect(EntityDetails entity) {
        buffer = new BufferedBody(entity);
        lengthBytes = entity.getContentLength();
    }

    /** Whether a body is being received into the buffer. */
    boolean isBuffering() {
        return buffer != null;
    }

    boolean isStreamed() {
        return pipe != null;
    }

    /** The pipe of a streamed body; null if the body is buffered. */
    BodyPipe pipe() {
        return pipe;
    }

    /** The bytes of a buffered body once it is complete; otherwise empty. */
    byte[] bytes() {
        return bytes;
    }

    /** The number of bytes of the body that have been received. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Adds to the number of received bytes. */
    void countReceived(int count) {
        long total = receivedBytes + count;
        receivedBytes = total;
    }

    /** Whether the received bytes exceed the longest permitted body. */
    boolean isTooLong() {
        return receivedBytes > MessageFraming.MAX_BODY_BYTES;
    }

    /** Buffers all bytes of the source; false, and nothing buffered, if the body gets too long. */
    boolean tryBuffer(ByteBuffer source) {
        return buffer.tryAppend(source);
    }

    /** Completes a buffered body; does nothing if the request has no body. */
    void completeBuffered() {
        if (buffer != null) {
            bytes = buffer.toByteArray();
            buffer = null;
        }
    }

    /**
     * Switches to streaming a body that is too long for its buffer.
     *
     * @param memory what the request may occupy of the memory budget
     * @param source the bytes that follow the buffered ones
     */
    void startStreaming(RequestMemory memory, ByteBuffer source) {
        BodyPipe created = new BodyPipe(memory, lengthBytes);
        created.append(ByteBuffer.wrap(buffer.toByteArray()));
        created.append(source);
        buffer = null;
        pipe = created;
    }

    /** The number of bytes still to be received, at most. */
    long remainingBytes() {
        return (lengthBytes < 0 ? MessageFraming.MAX_BODY_BYTES : lengthBytes) - receivedBytes;
    }

    /** Frees the buffer of a body that is no longer needed. */
    void releaseBuffer() {
        buffer = null;
    }

    /** Discards the unsent rest of a streamed body. */
    void discardStream() {
        if (pipe != null) {
            pipe.discard();
        }
    }

    /** Grants capacity to the client: at once, or, for a streamed body, once its pipe has room. */
    void requestCapacity(CapacityChannel channel) throws IOException {
        if (pipe != null) {
            pipe.requestCapacity(channel);
        } else {
            channel.update(BufferedBody.MAX_BYTES);
        }
    }

    /** Whether reading the body is paused because its pipe is full. */
    boolean isBackpressured() {
        BodyPipe current = pipe;
        return current != null && current.isBackpressured();
    }

    /** Whether a streamed body has made no progress for too long. */
    boolean isStalled(long nowNanos) {
        BodyPipe current = pipe;
        return current != null && current.isStalled(nowNanos);
    }
}
