package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * The part of a {@link MemoryBudget} that the bodies of one request occupy. It returns all of it
 * when it is closed, so that no path on which a request ends can keep a part. Thread-safe.
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
    synchronized void release(int bytes) {
        if (!closed) {
            reservedBytes -= bytes;
            budget.release(bytes);
        }
    }

    /** See {@link MemoryBudget#isScarce}. */
    boolean isScarce() {
        return budget.isScarce();
    }

    /** Returns everything to the budget; later calls reserve nothing. */
    @Override
    public synchronized void close() {
        if (!closed) {
            closed = true;
            budget.release(reservedBytes);
            reservedBytes = 0;
        }
    }
}
