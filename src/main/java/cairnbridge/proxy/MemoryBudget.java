package cairnbridge.proxy;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * The bytes that one kind of body may occupy in memory, summed over all requests of the proxy.
 * Thread-safe.
 */
public final class MemoryBudget {
    /** What a body that is received as a whole reserves at a time. */
    static final int GRANT_BYTES = 16 * 1024;

    /** The share of the limit from which on bodies make do with little memory. */
    private static final double SCARCE_SHARE = 0.75;

    private final LongSupplier limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    /** Run, in order of arrival, when memory has been returned. */
    private final Queue<Runnable> waiters = new ConcurrentLinkedQueue<>();

    /**
     * Creates a budget of which nothing is reserved.
     *
     * @param limitBytes the most bytes that {@link #tryReserve} reserves in sum, which may change
     */
    public MemoryBudget(LongSupplier limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Creates a budget with a limit that does not change. */
    public MemoryBudget(long limitBytes) {
        this(() -> limitBytes);
    }

    /** Reserves this many bytes; false, and nothing reserved, if too few are left. */
    boolean tryReserve(int bytes) {
        long reserved = reservedBytes.addAndGet(bytes);
        if (reserved > limitBytes.getAsLong()) {
            reservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Reserves bytes that are in memory already, even if the limit is exceeded. */
    void reserve(int bytes) {
        reservedBytes.addAndGet(bytes);
    }

    /** Returns reserved bytes. */
    void release(int bytes) {
        reservedBytes.addAndGet(-bytes);
        notifyWaiters();
    }

    /**
     * Runs the waiter once there may be room for {@link #GRANT_BYTES}, perhaps at once. It runs on
     * the thread that returns memory, and has to wait again if it cannot reserve any.
     */
    void awaitRoom(Runnable waiter) {
        waiters.add(waiter);
        notifyWaiters();
    }

    /** Ends the wait of a waiter that needs no memory any more. */
    void cancelWait(Runnable waiter) {
        waiters.remove(waiter);
    }

    private void notifyWaiters() {
        while (!waiters.isEmpty() && reservedBytes() + GRANT_BYTES <= limitBytes.getAsLong()) {
            Runnable waiter = waiters.poll();
            if (waiter != null) {
                waiter.run();
            }
        }
    }

    /** Whether so much is reserved that bodies should make do with little memory. */
    boolean isScarce() {
        return reservedBytes() > SCARCE_SHARE * limitBytes.getAsLong();
    }

    /** The number of bytes that are reserved at present. */
    public long reservedBytes() {
        return reservedBytes.get();
    }
}
