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
 * A body that is streamed from one connection to another: a ring of the bytes that its producer has
 * appended and its consumer has not yet written. The producer is granted no more capacity once the
 * window is full. Producer and consumer may be on different threads, and any thread may ask for the
 * state. Guards against two threads that wait for one another: no lock is held while a connection
 * is called, as those have locks of their own.
 */
public final class BodyPipe implements MessageBody {
    /** What one pipe may buffer. */
    static final int WINDOW_BYTES = 64 * 1024;

    /** What one pipe may buffer while all together buffer more than {@link #MAX_TOTAL_BYTES}. */
    static final int NARROW_WINDOW_BYTES = 8 * 1024;

    static final int MAX_TOTAL_BYTES = 6 << 20;

    private static final int INITIAL_BYTES = 4096;

    /**
     * Guards against a slow reader cut off: its system asks for more only once megabytes are free.
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
    private boolean lastChunkInWriting;

    /** The producer's, while it waits for capacity; else null. */
    @GuardedBy("this")
    private CapacityChannel waitingProducer;

    /** Null until the consumer has written for the first time. */
    @GuardedBy("this")
    private DataStreamChannel consumer;

    private volatile long lastProgressNanos = System.nanoTime();

    /**
     * An empty pipe.
     *
     * @param totalBytes counts what the pipes of one proxy buffer together
     * @param lengthBytes the length of the body; negative if the producer does not say
     */
    public BodyPipe(AtomicLong totalBytes, long lengthBytes) {
        this.totalBytes = totalBytes;
        this.lengthBytes = lengthBytes;
    }

    /** True for the first caller: a streamed body can be sent once. */
    public synchronized boolean tryClaim() {
        boolean first = !claimed;
        claimed = true;
        return first;
    }

    /** Takes all that is there; the window is kept by the capacity that the producer is granted. */
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

    /** The producer has used up its capacity, and is granted more once there is room. */
    public void requestCapacity(CapacityChannel producer) throws IOException {
        synchronized (this) {
            waitingProducer = producer;
        }
        grantCapacity();
    }

    /** Guards against a trickle of small grants: more only once half the window is free. */
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

    /** Whether the producer waits for the consumer. */
    public synchronized boolean isBackpressured() {
        return waitingProducer != null;
    }

    /**
     * Whether the producer has been silent for too long, or the consumer, which may take much at
     * once and then rest.
     *
     * @param nowNanos as {@link System#nanoTime}
     */
    public synchronized boolean isStalled(long nowNanos) {
        long limitNanos = bufferedBytes > 0 ? CONSUMER_STALL_NANOS : PRODUCER_STALL_NANOS;
        return nowNanos - lastProgressNanos > limitNanos;
    }

    /** The producer has appended its last byte. */
    public void finish() {
        synchronized (this) {
            producerFinished = true;
        }
        wakeConsumer();
    }

    /** There is no consumer any more: what is appended from now on is discarded. */
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
            lastProgressNanos = System.nanoTime(); // The producer has gone as well.
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
                return false; // The other thread goes on with what has come meanwhile.
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

    /** Writes until the channel takes no more, or nothing is left. */
    private void writeChunks(DataStreamChannel out) throws IOException {
        ByteBuffer chunk = nextChunk();
        while (chunk != null) {
            lastProgressNanos = System.nanoTime();
            int count = out.write(chunk);
            chunk = markConsumed(count) ? nextChunk() : null;
        }
    }

    /** Whether all has been produced, and written but for what is being written now. */
    public synchronized boolean isLastChunkInWriting() {
        return lastChunkInWriting;
    }

    /** The bytes to the end of the ring, at most; null if there are none. */
    private synchronized ByteBuffer nextChunk() {
        // Guards against a next request that is rejected: a client that knows the length may send
        // it while the producer's thread has appended the last byte but not yet said that it was
        // the last.
        boolean allProduced = producerFinished || producedBytes == lengthBytes;
        lastChunkInWriting = allProduced && readIndex + bufferedBytes <= ring.length;
        if (bufferedBytes == 0) {
            return null;
        }
        return ByteBuffer.wrap(ring, readIndex, Math.min(bufferedBytes, ring.length - readIndex));
    }

    /** Returns whether the channel has taken anything. */
    private synchronized boolean markConsumed(int count) {
        if (!discarded) {
            readIndex = (readIndex + count) % ring.length;
            bufferedBytes -= count;
            totalBytes.addAndGet(-count);
        }
        return count > 0;
    }

    /** True, once, if the producer has finished and all is written. */
    private synchronized boolean closeIfDrained() {
        boolean last = producerFinished && bufferedBytes == 0 && !closed && !discarded;
        closed |= last;
        return last;
    }
}
