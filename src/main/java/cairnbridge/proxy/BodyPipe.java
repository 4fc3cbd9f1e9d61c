package cairnbridge.proxy;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * A body that passes through: what its giver has given and its taker has not yet taken. The giver
 * is held back once a window is full. The sides may stand on different threads. Guards against two
 * that wait for one another: no lock is held while a connection is called, as those have locks of
 * their own.
 */
final class BodyPipe implements MessageBody {
    /** The window of one pipe; and of each while all together hold more than the bound. */
    static final int WINDOW_BYTES = 64 * 1024;

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
    private long producedBytes;
    private byte[] ring = new byte[INITIAL_BYTES];
    private int readIndex;
    private int bufferedBytes;
    private boolean claimed;
    private boolean producerFinished;
    private boolean closed;
    private boolean dropped;
    private boolean writing;
    private boolean lastChunkInWriting;
    private CapacityChannel waitingProducer;
    private DataStreamChannel consumer;
    private volatile long lastProgressNanos = System.nanoTime();

    /**
     * all counts what the pipes of one proxy hold together; length is -1 where the giver tells
     * none.
     */
    BodyPipe(AtomicLong all, long length) {
        this.totalBytes = all;
        this.lengthBytes = length;
    }

    /** True for the first who asks: a body that passes through can be sent once. */
    synchronized boolean tryClaim() {
        boolean first = !claimed;
        claimed = true;
        return first;
    }

    /** Takes in all that is there; the window is kept by the capacity that the giver is granted. */
    void append(ByteBuffer src) {
        enqueue(src);
        wakeConsumer();
    }

    private synchronized void enqueue(ByteBuffer src) {
        lastProgressNanos = System.nanoTime();
        int count = src.remaining();
        if (dropped) {
            src.position(src.limit());
            return;
        }
        if (bufferedBytes + count > ring.length) {
            grow(bufferedBytes + count);
        }
        int at = (readIndex + bufferedBytes) % ring.length;
        int first = Math.min(count, ring.length - at);
        src.get(ring, at, first).get(ring, 0, count - first);
        bufferedBytes += count;
        producedBytes += count;
        totalBytes.addAndGet(count);
    }

    private void grow(int least) {
        byte[] wider = new byte[Math.max(least, 2 * ring.length)];
        int first = Math.min(bufferedBytes, ring.length - readIndex);
        System.arraycopy(ring, readIndex, wider, 0, first);
        System.arraycopy(ring, 0, wider, first, bufferedBytes - first);
        ring = wider;
        readIndex = 0;
    }

    /** The giver has used up what it was granted, and asks for more. */
    void requestCapacity(CapacityChannel capacity) throws IOException {
        synchronized (this) {
            waitingProducer = capacity;
        }
        grantCapacity();
    }

    /** Guards against a trickle of small grants: more only once half the window is free. */
    private void grantCapacity() throws IOException {
        CapacityChannel waiting;
        int room;
        synchronized (this) {
            int window = totalBytes.get() > MAX_TOTAL_BYTES ? NARROW_WINDOW_BYTES : WINDOW_BYTES;
            if (!dropped && bufferedBytes > window / 2) {
                return;
            }
            waiting = waitingProducer;
            room = window - bufferedBytes;
            waitingProducer = null;
        }
        if (waiting != null) {
            waiting.update(room);
        }
    }

    /** The giver waits for the taker. */
    synchronized boolean isBackpressured() {
        return waitingProducer != null;
    }

    /**
     * Whether the giver has been silent too long, or the taker, who may take much at once and then
     * rest.
     */
    synchronized boolean isStalled(long now) {
        return now - lastProgressNanos
                > (bufferedBytes > 0 ? CONSUMER_STALL_NANOS : PRODUCER_STALL_NANOS);
    }

    /** The giver has given its last byte. */
    void finish() {
        synchronized (this) {
            producerFinished = true;
        }
        wakeConsumer();
    }

    /** Nobody takes any more: what is given from now on goes nowhere. */
    void discard() {
        synchronized (this) {
            dropped = true;
            totalBytes.addAndGet(-bufferedBytes);
            bufferedBytes = 0;
            readIndex = 0;
            ring = new byte[1];
        }
        try {
            grantCapacity();
        } catch (IOException e) {
            lastProgressNanos =
                    System.nanoTime(); // The giver is gone as well: nobody is left to tell.
        }
    }

    private void wakeConsumer() {
        DataStreamChannel taker;
        synchronized (this) {
            taker = consumer;
        }
        if (taker != null) {
            taker.requestOutput();
        }
    }

    @Override
    public synchronized int availableBytes() {
        return bufferedBytes > 0 ? bufferedBytes : producerFinished && !closed ? 1 : 0;
    }

    @Override
    public EntityDetails entityDetails() {
        return new BasicEntityDetails(lengthBytes, null);
    }

    @Override
    public boolean writeTo(DataStreamChannel to) throws IOException {
        synchronized (this) {
            consumer = to;
            if (writing) {
                return false; // The other thread goes on with what has come meanwhile.
            }
            writing = true;
        }
        boolean last = false;
        try {
            for (ByteBuffer next = nextChunk();
                    next != null;
                    next = markConsumed(to.write(next)) ? nextChunk() : null) {
                lastProgressNanos = System.nanoTime();
            }
            last = closeIfDrained();
        } finally {
            synchronized (this) {
                writing = false;
            }
        }
        grantCapacity();
        if (last) {
            to.endStream();
        }
        return last;
    }

    /** All has been given, and handed over but for what is being written now. */
    synchronized boolean isLastChunkInWriting() {
        return lastChunkInWriting;
    }

    private synchronized ByteBuffer nextChunk() {
        // Guards against a next request that is refused: a client who knows the length may send it
        // while the giver's thread has given the last byte but not yet said that it was the last.
        boolean allGiven = producerFinished || producedBytes == lengthBytes;
        lastChunkInWriting = allGiven && readIndex + bufferedBytes <= ring.length;
        return bufferedBytes == 0
                ? null
                : ByteBuffer.wrap(
                        ring, readIndex, Math.min(bufferedBytes, ring.length - readIndex));
    }

    private synchronized boolean markConsumed(int count) {
        if (!dropped) {
            readIndex = (readIndex + count) % ring.length;
            bufferedBytes -= count;
            totalBytes.addAndGet(-count);
        }
        return count > 0;
    }

    private synchronized boolean closeIfDrained() {
        boolean last = producerFinished && bufferedBytes == 0 && !closed && !dropped;
        closed |= last;
        return last;
    }
}
