package cairnbridge.proxy;

import com.google.errorprone.annotations.concurrent.GuardedBy;

/**
 * The part of a {@link MemoryBudget} that the latest message head of one connection occupies, from
 * its first long line until its exchange is over or the connection is closed. Thread-safe.
 */
final class HeadMemory {
    private final MemoryBudget budget;

    @GuardedBy("this")
    private int reservedBytes;

    @GuardedBy("this")
    private boolean closed;

    HeadMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Reserves bytes; false, and nothing reserved, if the budget is used up. */
    synchronized boolean tryReserve(int bytes) {
        if (closed || !budget.tryReserve(bytes)) {
            return false;
        }
        reservedBytes += bytes;
        return true;
    }

    /** Returns what is reserved; guards against a deadlock by doing so outside the lock. */
    void release() {
        int bytes;
        synchronized (this) {
            bytes = reservedBytes;
            reservedBytes = 0;
        }
        if (bytes > 0) {
            budget.release(bytes);
        }
    }

    /** Returns what is reserved; nothing is reserved from now on. */
    void close() {
        synchronized (this) {
            closed = true;
        }
        release();
    }
}
