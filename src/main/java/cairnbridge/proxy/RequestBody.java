package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The body of one client request: buffered as a whole while it is short, streamed through a pipe
 * once it does not fit into the buffer. Only the reactor's thread writes it; any thread may return
 * the memory that it waits for, or query its state. The coordinator thread reads the bytes after it
 * was notified of the request.
 */
final class RequestBody {
    private static final byte[] NO_BYTES = {};

    /**
     * The polls of the reactor after which a client has sent nothing more, if reading has resumed
     * and nothing was read: at the second one the input of the first is handled.
     */
    private static final int SETTLED_POLLS = 3;

    private final RequestMemory memory;
    private final ReadPauses readPauses = new ReadPauses();
    private final LongSupplier completedPolls;

    /** The polls of the reactor that were completed when the client was last granted capacity. */
    private volatile long pollsAtGrant;

    /** Run when memory has been returned for which this body waits. */
    private final Runnable memoryWaiter = this::memoryReturned;

    /** Null before the head is received, and once the body is complete, streamed or dropped. */
    private volatile BufferedBody buffer;

    /** The client's capacity while it waits for memory; otherwise null. */
    @GuardedBy("this")
    private CapacityChannel waitingCapacity;

    @GuardedBy("this")
    private long waitingSinceNanos;

    /** The length according to the head; negative if it is unknown. */
    private long lengthBytes;

    private byte[] bytes = NO_BYTES;

    /** Null while the body is not streamed. */
    private volatile BodyPipe pipe;

    private volatile long receivedBytes;

    /** Whether reading has paused and has not caught up with the client since. */
    private volatile boolean unread;

    /** Whether reading has caught up with the client since the last query. */
    private final AtomicBoolean caughtUp = new AtomicBoolean();

    /**
     * Creates a body of which nothing is received.
     *
     * @param memory what the request may occupy of the memory budget
     * @param completedPolls the number of polls of the reactor so far
     */
    RequestBody(RequestMemory memory, LongSupplier completedPolls) {
        this.memory = memory;
        this.completedPolls = completedPolls;
    }

    /** Prepares for the body that the head has announced. */
    void expect(EntityDetails entity) {
        buffer = new BufferedBody(memory, entity);
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
        BufferedBody buffered = buffer;
        if (buffered == null) { // Another thread has just rejected the request.
            source.position(source.limit());
            return true;
        }
        return buffered.tryAppend(source);
    }

    /** Completes a buffered body; does nothing if the request has no body. */
    void completeBuffered() {
        endWait();
        BufferedBody buffered = buffer;
        if (buffered != null) {
            bytes = buffered.toByteArray();
            buffer = null;
        }
    }

    /**
     * Switches to streaming a body that is too long for its buffer; does nothing if another thread
     * has just rejected the request.
     *
     * @param source the bytes that follow the buffered ones
     */
    void startStreaming(ByteBuffer source) {
        BufferedBody buffered = buffer;
        if (buffered == null) {
            return;
        }
        BodyPipe created = new BodyPipe(memory, lengthBytes);
        created.append(ByteBuffer.wrap(buffered.toByteArray()));
        created.append(source);
        releaseBuffer();
        pipe = created;
    }

    /** The number of bytes still to be received; negative if it is unknown. */
    private long bytesLeft() {
        return lengthBytes < 0 ? lengthBytes : lengthBytes - receivedBytes;
    }

    /**
     * For how long the last byte of the body may have waited to be read, if the client has sent it,
     * in nanoseconds.
     */
    long unreadNanos() {
        return isSettled() ? 0 : readPauses.unreadNanos(System.nanoTime());
    }

    /**
     * Whether reading has resumed and the reactor has found nothing to read since. Guards against
     * taking a client that rests for one whose bytes wait to be read.
     */
    private boolean isSettled() {
        return !isBackpressured() && completedPolls.getAsLong() - pollsAtGrant > SETTLED_POLLS;
    }

    /** Called before input is read. */
    void inputBegins() {
        if (isSettled()) {
            recordCaughtUp();
        }
        pollsAtGrant = completedPolls.getAsLong();
    }

    private void grant(CapacityChannel channel, int bytes) throws IOException {
        pollsAtGrant = completedPolls.getAsLong();
        channel.update(bytes);
    }

    /** Records that everything which the client has sent so far has been read. */
    void inputDrained() {
        if (!isBackpressured()) {
            recordCaughtUp();
        }
    }

    private void recordCaughtUp() {
        unread = false;
        caughtUp.set(true);
        readPauses.drained();
    }

    /** Whether the client may have waited to send the rest ever since the last call. */
    boolean hasWaitedSinceLastCall() {
        boolean caughtUpSince = caughtUp.getAndSet(false);
        return unread && !caughtUpSince && !isSettled();
    }

    private void recordPause() {
        unread = true;
        readPauses.paused(System.nanoTime(), receivedBytes, bytesLeft());
    }

    /** Frees the buffer of a body that is no longer needed, and ends its wait for memory. */
    void releaseBuffer() {
        endWait();
        BufferedBody buffered = buffer;
        if (buffered != null) {
            buffer = null;
            buffered.release();
        }
    }

    /** Discards the unsent rest of a streamed body. */
    void discardStream() {
        if (pipe != null) {
            pipe.discard();
        }
    }

    /**
     * Grants capacity to the client once there is memory: for a buffered body as soon as the budget
     * has room, for a streamed one once its pipe has.
     */
    void requestCapacity(CapacityChannel channel) throws IOException {
        if (pipe != null) {
            pipe.requestCapacity(bytes -> grant(channel, bytes));
            if (pipe.isBackpressured()) {
                recordPause();
            }
        } else if (buffer == null) {
            channel.update(MemoryBudget.GRANT_BYTES);
        } else {
            requestBufferCapacity(channel);
        }
    }

    private void requestBufferCapacity(CapacityChannel channel) throws IOException {
        BufferedBody buffered = buffer;
        if (buffered == null || buffered.tryReserve(MemoryBudget.GRANT_BYTES)) {
            endWait();
            grant(channel, MemoryBudget.GRANT_BYTES);
        } else {
            beginWait(channel);
        }
    }

    private void beginWait(CapacityChannel channel) {
        synchronized (this) {
            boolean waits = waitingCapacity != null;
            waitingCapacity = channel;
            if (waits) {
                return;
            }
            waitingSinceNanos = System.nanoTime();
        }
        recordPause();
        memory.awaitRoom(memoryWaiter);
    }

    private void endWait() {
        synchronized (this) {
            if (waitingCapacity == null) {
                return;
            }
            waitingCapacity = null;
        }
        memory.cancelWait(memoryWaiter);
    }

    private void memoryReturned() {
        CapacityChannel channel;
        synchronized (this) {
            channel = waitingCapacity;
        }
        if (channel == null) {
            return;
        }
        BufferedBody buffered = buffer;
        if (buffered != null && !buffered.tryReserve(MemoryBudget.GRANT_BYTES)) {
            memory.awaitRoom(memoryWaiter);
            return;
        }
        endWait();
        try {
            grant(channel, MemoryBudget.GRANT_BYTES);
        } catch (IOException e) {
            releaseBuffer(); // The client's connection has failed.
        }
    }

    /** How long the client has been waiting for memory, in nanoseconds; 0 if it does not wait. */
    synchronized long presentWaitNanos() {
        return waitingCapacity == null ? 0 : System.nanoTime() - waitingSinceNanos;
    }

    /** Whether reading the body is paused, because its pipe is full or it waits for memory. */
    boolean isBackpressured() {
        BodyPipe current = pipe;
        return current != null ? current.isBackpressured() : presentWaitNanos() > 0;
    }

    /** Whether a streamed body has made no progress for too long. */
    boolean isStalled(long nowNanos) {
        BodyPipe current = pipe;
        return current != null && current.isStalled(nowNanos);
    }
}
