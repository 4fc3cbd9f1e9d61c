package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * The part of a {@link MemoryBudget} that the bodies of one request occupy. It returns all of it
 * when it is closed, so that no path on which a request ends can keep a part. Thread-safe. Guards
 * against a deadlock: memory is returned outside the lock, because that may grant it to others.
 */
public final class RequestMemory implements AutoCloseable {
    private final MemoryBudget budget;

    @GuardedBy("this")
    private int reservedBytes;

    @GuardedBy("this")
    private boolean closed;

    /** Creates an instance that has reserved nothing. */
    public RequestMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Reserves bytes; false, and nothing reserved, if the budget is used up or this is closed. */
    synchronized boolean tryReserve(int bytes) {
        if (closed || !budget.tryReserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Reserves bytes that are in memory already, even if the budget is exceeded. */
    synchronized void reserve(int bytes) {
        if (!closed) {
            reservedBytes += bytes;
            budget.reserve(bytes);
        }
    }

    /** Returns reserved bytes to the budget. */
    void release(int bytes) {
        synchronized (this) {
            if (closed) {
                return;
            }
            reservedBytes -= bytes;
        }
        budget.release(bytes);
    }

    /** See {@link MemoryBudget#awaitRoom}. */
    void awaitRoom(Runnable waiter) {
        budget.awaitRoom(waiter);
    }

    /** See {@link MemoryBudget#cancelWait}. */
    void cancelWait(Runnable waiter) {
        budget.cancelWait(waiter);
    }

    /** See {@link MemoryBudget#isScarce}. */
    boolean isScarce() {
        return budget.isScarce();
    }

    /** Returns everything to the budget; later calls reserve nothing. */
    @Override
    public void close() {
        int bytes;
        synchronized (this) {
            closed = true;
            bytes = reservedBytes;
            reservedBytes = 0;
        }
        if (bytes > 0) {
            budget.release(bytes);
        }
    }
}
