package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
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

    /**
     * The number of bytes that one pipe buffers at most while all pipes of the proxy together
     * buffer more than {@link #MAX_TOTAL_BYTES}.
     */
    static final int NARROW_WINDOW_BYTES = 8 * 1024;

    static final int MAX_TOTAL_BYTES = 6 << 20;

    private static final int INITIAL_BYTES = 4096;

    /**
     * Guards against disconnecting a slow reader: its TCP stack may accept more data only once
     * megabytes of its buffer are free.
     */
    private static final long CONSUMER_STALL_NANOS = 60_000_000_000L;

    private static final long PRODUCER_STALL_NANOS = 10_000_000_000L;

    private final AtomicLong totalBytes;
    private final long lengthBytes;

    @GuardedBy("this")
    private long producedBytes;

    @GuardedBy("this")
    private byte[] ring = new byte[INITIAL_BYTES];

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
     * @param totalBytes counts the bytes that all pipes of the proxy buffer
     * @param lengthBytes the length of the body; negative if it is unknown
     */
    public BodyPipe(AtomicLong totalBytes, long lengthBytes) {
        this.totalBytes = totalBytes;
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
        if (discarded) {
            source.position(source.limit());
            return;
        }
        if (bufferedBytes + count > ring.length) {
            grow(bufferedBytes + count);
        }
        int writeIndex = (readIndex + bufferedBytes) % ring.length;
        int countToEnd = Math.min(count, ring.length - writeIndex);
        source.get(ring, writeIndex, countToEnd);
        source.get(ring, 0, count - countToEnd);
        bufferedBytes += count;
        producedBytes += count;
        totalBytes.addAndGet(count);
    }

    @GuardedBy("this")
    private void grow(int minBytes) {
        byte[] larger = new byte[Math.max(minBytes, 2 * ring.length)];
        int countToEnd = Math.min(bufferedBytes, ring.length - readIndex);
        System.arraycopy(ring, readIndex, larger, 0, countToEnd);
        System.arraycopy(ring, 0, larger, countToEnd, bufferedBytes - countToEnd);
        ring = larger;
        readIndex = 0;
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
            int windowBytes =
                    totalBytes.get() > MAX_TOTAL_BYTES ? NARROW_WINDOW_BYTES : WINDOW_BYTES;
            if (!discarded && bufferedBytes > windowBytes / 2) {
                return;
            }
            producer = waitingProducer;
            grantedBytes = windowBytes - bufferedBytes;
            waitingProducer = null;
        }
        if (producer != null) {
            producer.update(grantedBytes);
        }
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
            totalBytes.addAndGet(-bufferedBytes);
            bufferedBytes = 0;
            readIndex = 0;
            ring = new byte[1];
        }
        try {
            grantCapacity();
        } catch (IOException e) {
            lastProgressNanos = System.nanoTime(); // The producer is disconnected too.
        }
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
            totalBytes.addAndGet(-count);
        }
        return count > 0;
    }

    /** Closes the pipe; true, once, if the producer has finished and all bytes are written. */
    private synchronized boolean closeIfDrained() {
        boolean last = producerFinished && bufferedBytes == 0 && !closed && !discarded;
        closed |= last;
        return last;
    }
}
