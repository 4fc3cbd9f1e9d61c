package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The body of one client request: buffered whole while it is short, streamed through a pipe once it
 * is longer than a buffer. The reactor thread alone writes it. The volatile fields are read by any
 * thread, the bytes by the coordinator thread after the request was announced to it.
 */
final class RequestBody {
    private static final byte[] NO_BYTES = {};

    /** Null while no body is expected: before the head, and once the body is complete or piped. */
    private BufferedBody buffer;

    /** As the head says; negative if it does not. */
    private long lengthBytes;

    private byte[] bytes = NO_BYTES;

    /** Null while the body is not streamed. */
    private volatile BodyPipe pipe;

    private volatile long receivedBytes;

    /** The head has announced a body. */
    void expect(EntityDetails entity) {
        buffer = new BufferedBody(entity);
        lengthBytes = entity.getContentLength();
    }

    /** Whether a body is expected that has so far been buffered. */
    boolean isBuffering() {
        return buffer != null;
    }

    boolean isStreamed() {
        return pipe != null;
    }

    /** The pipe of a streamed body; null for one that is buffered. */
    BodyPipe pipe() {
        return pipe;
    }

    /** A buffered body once it is complete; empty if there is none. */
    byte[] bytes() {
        return bytes;
    }

    /** How much of the body has been received. */
    long receivedBytes() {
        return receivedBytes;
    }

    /** Bytes have been received. */
    void countReceived(int count) {
        long total = receivedBytes + count;
        receivedBytes = total;
    }

    /** Whether more has been received than any body may have. */
    boolean isTooLong() {
        return receivedBytes > MessageFraming.MAX_BODY_BYTES;
    }

    /** Takes all of it into the buffer; false, and nothing taken, if the body grows too long. */
    boolean tryBuffer(ByteBuffer source) {
        return buffer.tryAppend(source);
    }

    /** Ends the buffering of a body that is complete, or of none. */
    void completeBuffered() {
        if (buffer != null) {
            bytes = buffer.toByteArray();
            buffer = null;
        }
    }

    /**
     * Streams from now on a body that is too long for its buffer.
     *
     * @param pipedBytes what all pipes buffer together
     * @param source the bytes that follow what is buffered
     */
    void startStreaming(AtomicLong pipedBytes, ByteBuffer source) {
        BodyPipe created = new BodyPipe(pipedBytes, lengthBytes);
        created.append(ByteBuffer.wrap(buffer.toByteArray()));
        created.append(source);
        buffer = null;
        pipe = created;
    }

    /** How much is yet to come, at most. */
    long remainingBytes() {
        return (lengthBytes < 0 ? MessageFraming.MAX_BODY_BYTES : lengthBytes) - receivedBytes;
    }

    /** Frees the buffer of a body that is not wanted any more. */
    void releaseBuffer() {
        buffer = null;
    }

    /** What is yet to come of a streamed body is discarded. */
    void discardStream() {
        if (pipe != null) {
            pipe.discard();
        }
    }

    /** Grants the client capacity, now or, for a streamed body, once its pipe has room. */
    void requestCapacity(CapacityChannel channel) throws IOException {
        if (pipe != null) {
            pipe.requestCapacity(channel);
        } else {
            channel.update(BufferedBody.MAX_BYTES);
        }
    }

    /** Whether the body stands still because the proxy accepts no more of it at present. */
    boolean isBackpressured() {
        BodyPipe current = pipe;
        return current != null && current.isBackpressured();
    }

    /** Whether a streamed body stands still for too long. */
    boolean isStalled(long nowNanos) {
        BodyPipe current = pipe;
        return current != null && current.isStalled(nowNanos);
    }
}
