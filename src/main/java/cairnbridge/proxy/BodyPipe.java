package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * A body that is streamed from one connection to another: a ring buffer of the bytes that the
 * producer has appended and the consumer has not written yet. The producer is granted no more
 * capacity while the window is full. Producer and consumer may run on different threads, and any
 * thread may query the state. Guards against a deadlock: no lock is held during a call to a
 * connection, because connections use locks as well.
 */
public final class BodyPipe implements MessageBody {
    /** The number of bytes that one pipe buffers at most. */
    static final int WINDOW_BYTES = 64 * 1024;

    /** The number of bytes that one pipe buffers at most while the memory budget is used up. */
    static final int NARROW_WINDOW_BYTES = 8 * 1024;

    private static final byte[] NO_BYTES = {};

    /**
     * Guards against disconnecting a slow reader: its TCP stack may accept more data only once
     * megabytes of its buffer are free.
     */
    private static final long CONSUMER_STALL_NANOS = 60_000_000_000L;

    private static final long PRODUCER_STALL_NANOS = 10_000_000_000L;

    private final RequestMemory memory;
    private final long lengthBytes;

    @GuardedBy("this")
    private long producedBytes;

    /** The bytes of the memory budget that this pipe has reserved; at least the ring's length. */
    @GuardedBy("this")
    private int reservedBytes;

    @GuardedBy("this")
    private byte[] ring = NO_BYTES;

    @GuardedBy("this")
    private int readIndex;

    @GuardedBy("this")
    private int bufferedBytes;

    @GuardedBy("this")
    private boolean claimed;

    @GuardedBy("this")
    private boolean producerFinished;

    @GuardedBy("this")
    private boolean closed;

    @GuardedBy("this")
    private boolean discarded;

    @GuardedBy("this")
    private boolean writing;

    @GuardedBy("this")
    private boolean writingLastChunk;

    /** The producer's capacity channel while it waits for capacity; otherwise null. */
    @GuardedBy("this")
    private CapacityChannel waitingProducer;

    /** The connection that the body is written to; null until the first write. */
    @GuardedBy("this")
    private DataStreamChannel consumer;

    private volatile long lastProgressNanos = System.nanoTime();

    /**
     * Creates an empty pipe.
     *
     * @param memory what the request may occupy of the memory budget
     * @param lengthBytes the length of the body; negative if it is unknown
     */
    public BodyPipe(RequestMemory memory, long lengthBytes) {
        this.memory = memory;
        this.lengthBytes = lengthBytes;
    }

    /** True for the first caller only: a streamed body can be sent only once. */
    public synchronized boolean tryClaim() {
        boolean first = !claimed;
        claimed = true;
        return first;
    }

    /**
     * Appends all bytes of the source. The window is not checked here: it limits the capacity that
     * the producer is granted.
     */
    public void append(ByteBuffer source) {
        enqueue(source);
        wakeConsumer();
    }

    private synchronized void enqueue(ByteBuffer source) {
        lastProgressNanos = System.nanoTime();
        int count = source.remaining();
        if (discarded || count == 0) {
            source.position(source.limit());
            return;
        }
        if (bufferedBytes + count > ring.length) {
            reserveAtLeast(bufferedBytes + count);
            resize(Math.max(bufferedBytes + count, Math.min(reservedBytes, 2 * ring.length)));
        }
        int writeIndex = (readIndex + bufferedBytes) % ring.length;
        int countToEnd = Math.min(count, ring.length - writeIndex);
        source.get(ring, writeIndex, countToEnd);
        source.get(ring, 0, count - countToEnd);
        bufferedBytes += count;
        producedBytes += count;
    }

    @GuardedBy("this")
    private void resize(int lengthBytes) {
        byte[] resized = new byte[lengthBytes];
        int countToEnd = Math.min(bufferedBytes, ring.length - readIndex);
        System.arraycopy(ring, readIndex, resized, 0, countToEnd);
        System.arraycopy(ring, 0, resized, countToEnd, bufferedBytes - countToEnd);
        ring = resized;
        readIndex = 0;
    }

    /**
     * Reserves memory for bytes that have been received, whether or not the budget has any left.
     */
    @GuardedBy("this")
    private void reserveAtLeast(int bytes) {
        if (bytes > reservedBytes) {
            memory.reserve(bytes - reservedBytes);
            reservedBytes = bytes;
        }
    }

    /**
     * Reserves memory for the next grant: for a whole window, or for a narrow one while memory is
     * scarce. Guards against pipes of slow consumers that keep the memory of a whole window.
     *
     * @return the size of the window
     */
    @GuardedBy("this")
    private int reserveWindow() {
        if (!memory.isScarce()) {
            int missingBytes = WINDOW_BYTES - reservedBytes;
            if (missingBytes <= 0) {
                return WINDOW_BYTES;
            }
            if (memory.tryReserve(missingBytes)) {
                reservedBytes = WINDOW_BYTES;
                return WINDOW_BYTES;
            }
        }
        if (bufferedBytes <= NARROW_WINDOW_BYTES) {
            releaseTo(NARROW_WINDOW_BYTES);
            reserveAtLeast(NARROW_WINDOW_BYTES);
        }
        return NARROW_WINDOW_BYTES;
    }

    @GuardedBy("this")
    private void releaseTo(int bytes) {
        if (ring.length > bytes) {
            resize(bytes);
        }
        if (reservedBytes > bytes) {
            memory.release(reservedBytes - bytes);
            reservedBytes = bytes;
        }
    }

    /** Called when the producer has used up its capacity; grants more once there is room. */
    public void requestCapacity(CapacityChannel producer) throws IOException {
        synchronized (this) {
            waitingProducer = producer;
        }
        grantCapacity();
    }

    /** Guards against many small grants: grants capacity only once half the window is free. */
    private void grantCapacity() throws IOException {
        CapacityChannel producer;
        int grantedBytes;
        synchronized (this) {
            producer = waitingProducer;
            grantedBytes = producer == null ? 0 : grantableBytes();
            if (grantedBytes > 0) {
                waitingProducer = null;
            }
        }
        if (grantedBytes > 0) {
            producer.update(grantedBytes);
        }
    }

    /** The capacity that the producer is granted now; 0 if it has to wait for the consumer. */
    @GuardedBy("this")
    private int grantableBytes() {
        if (discarded || closed) {
            return WINDOW_BYTES;
        }
        if (bufferedBytes > WINDOW_BYTES / 2) {
            return 0;
        }
        int windowBytes = reserveWindow();
        return bufferedBytes > windowBytes / 2 ? 0 : windowBytes - bufferedBytes;
    }

    /** Whether the producer waits for the consumer to free capacity. */
    public synchronized boolean isBackpressured() {
        return waitingProducer != null;
    }

    /**
     * Whether the producer or the consumer has made no progress for too long. The consumer has more
     * time, because it may take a lot at once and then pause.
     *
     * @param nowNanos the time on the clock of {@link System#nanoTime}
     */
    public synchronized boolean isStalled(long nowNanos) {
        long limitNanos = bufferedBytes > 0 ? CONSUMER_STALL_NANOS : PRODUCER_STALL_NANOS;
        return nowNanos - lastProgressNanos > limitNanos;
    }

    /** Marks the body as complete: the producer has appended its last byte. */
    public void finish() {
        synchronized (this) {
            producerFinished = true;
        }
        wakeConsumer();
    }

    /**
     * Discards the buffered bytes and all that are appended later: there is no consumer any more.
     */
    public void discard() {
        synchronized (this) {
            discarded = true;
            bufferedBytes = 0;
            readIndex = 0;
            releaseTo(0);
        }
        try {
            grantCapacity();
        } catch (IOException e) {
            lastProgressNanos = System.nanoTime(); // The producer is disconnected too.
        }
    }

    /** For tests only: the size of the ring buffer. */
    synchronized int occupiedBytes() {
        return ring.length;
    }

    private void wakeConsumer() {
        DataStreamChannel channel;
        synchronized (this) {
            channel = consumer;
        }
        if (channel != null) {
            channel.requestOutput();
        }
    }

    @Override
    public synchronized int availableBytes() {
        if (bufferedBytes > 0) {
            return bufferedBytes;
        }
        return producerFinished && !closed ? 1 : 0;
    }

    @Override
    public EntityDetails entityDetails() {
        return new BasicEntityDetails(lengthBytes, null);
    }

    @Override
    public boolean writeTo(DataStreamChannel out) throws IOException {
        synchronized (this) {
            consumer = out;
            if (writing) {
                return false; // The writing thread also writes what was appended meanwhile.
            }
            writing = true;
        }
        boolean last = false;
        try {
            writeChunks(out);
            last = closeIfDrained();
        } finally {
            synchronized (this) {
                writing = false;
            }
        }
        grantCapacity();
        if (last) {
            out.endStream();
        }
        return last;
    }

    /** Writes until the channel accepts no more bytes or the pipe is empty. */
    private void writeChunks(DataStreamChannel out) throws IOException {
        ByteBuffer chunk = nextChunk();
        while (chunk != null) {
            lastProgressNanos = System.nanoTime();
            int count = out.write(chunk);
            chunk = markConsumed(count) ? nextChunk() : null;
        }
    }

    /** Whether the body is complete and only the chunk that is being written now is left. */
    public synchronized boolean isWritingLastChunk() {
        return writingLastChunk;
    }

    /** The next buffered bytes, up to the end of the ring array; null if there are none. */
    private synchronized ByteBuffer nextChunk() {
        // Guards against rejecting the client's next request: a client that knows the length may
        // send it when the producer's thread has appended the last byte but not yet called
        // finish().
        boolean allProduced = producerFinished || producedBytes == lengthBytes;
        writingLastChunk = allProduced && readIndex + bufferedBytes <= ring.length;
        if (bufferedBytes == 0) {
            return null;
        }
        return ByteBuffer.wrap(ring, readIndex, Math.min(bufferedBytes, ring.length - readIndex));
    }

    /** Removes written bytes; returns whether the channel accepted any. */
    private synchronized boolean markConsumed(int count) {
        if (!discarded) {
            readIndex = (readIndex + count) % ring.length;
            bufferedBytes -= count;
        }
        return count > 0;
    }

    /** Closes the pipe; true, once, if the producer has finished and all bytes are written. */
    private synchronized boolean closeIfDrained() {
        boolean last = producerFinished && bufferedBytes == 0 && !closed && !discarded;
        if (last) {
            closed = true;
            readIndex = 0;
            releaseTo(0);
        }
        return last;
    }
}
