package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;

/**
 * The permission to send an attempt. It is issued when the router decides to send the attempt, and
 * checked again when its bytes are written. The reactor thread revokes it when the client
 * disconnects; the coordinator thread revokes it when the request is answered or the node drains. A
 * write and a revocation exclude each other: once {@link #revoke} has returned, no byte is written
 * that the revocation forbids. Thread-safe.
 */
public final class SendPermit {
    /** Writes bytes of an attempt to its socket. */
    interface SocketWrite {
        /** Writes without blocking, and calls nothing that waits for another thread. */
        void run() throws IOException;
    }

    /** Held during a write and during a revocation; that of the request for all its attempts. */
    private final Object writeLock;

    /** The permit of the request that the attempt belongs to; null if this is that permit. */
    private final SendPermit requestPermit;

    private volatile long latestStartTicks;

    /** Why the permit was revoked; null if it was not. */
    private final AtomicReference<AttemptRejection> revocation = new AtomicReference<>();

    /** Creates the permit of a request, which is valid while its client waits for an answer. */
    public SendPermit() {
        this(null, Long.MAX_VALUE);
    }

    private SendPermit(SendPermit requestPermit, long latestStartTicks) {
        this.requestPermit = requestPermit;
        writeLock = requestPermit == null ? new Object() : requestPermit.writeLock;
        this.latestStartTicks = latestStartTicks;
    }

    /**
     * Creates the permit of one attempt of this request.
     *
     * @param latestStartTicks the time in ticks from which on the attempt may not be sent any more
     */
    public SendPermit forAttempt(long latestStartTicks) {
        return new SendPermit(this, latestStartTicks);
    }

    /**
     * Puts off the time from which on the attempt may not be sent. Called on the reactor's thread
     * only, for an attempt whose body the client is still sending.
     */
    void extendTo(long ticks) {
        latestStartTicks = Math.max(latestStartTicks, ticks);
    }

    /**
     * Revokes the permit, and waits for a write that is in progress; if it was revoked before, the
     * earlier reason remains.
     */
    public void revoke(AttemptRejection reason) {
        synchronized (writeLock) {
            revocation.compareAndSet(null, reason);
        }
    }

    /**
     * Writes unless there is a reason against it. Guards against bytes that are written after an
     * answer, because the permit was checked before the answer.
     *
     * @param begun whether a part of the attempt was written before
     * @return why nothing was written; null if the write was run
     */
    AttemptRejection writeIfPermitted(TickClock clock, boolean begun, SocketWrite write)
            throws IOException {
        synchronized (writeLock) {
            long now = clock.now();
            AttemptRejection reason = begun ? rejectionOfLastByte(now) : rejection(now);
            if (reason == null) {
                write.run();
            }
            return reason;
        }
    }

    /** Runs an action while no byte of the request's attempts is written. */
    <T> T whileNotWriting(Supplier<T> action) {
        synchronized (writeLock) {
            return action.get();
        }
    }

    /** Returns why the first byte may not be sent now; null if it may. */
    public AttemptRejection rejection(long now) {
        AttemptRejection reason = revocation.get();
        if (reason == null && requestPermit != null) {
            reason = requestPermit.rejection(now);
        }
        return reason == null && now >= latestStartTicks ? AttemptRejection.TOO_LATE : reason;
    }

    /**
     * Returns why the last byte may not be sent now; null if it may. A node starts to execute a
     * request when it receives the last byte. That the node drains is no reason here: a request
     * whose first byte was sent before the drain is sent completely.
     */
    public AttemptRejection rejectionOfLastByte(long now) {
        AttemptRejection reason = rejection(now);
        return reason == AttemptRejection.NODE_CLOSED ? requestPermit.rejection(now) : reason;
    }
}
