package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The permission to send an attempt. It is issued when the router decides to send the attempt, and
 * checked again when its bytes are written. The reactor thread revokes it when the client
 * disconnects; the coordinator thread revokes it when the request is answered or the node drains.
 * Thread-safe; no method blocks or does I/O.
 */
public final class SendPermit {
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

    /** Revokes the permit; if it was revoked before, the earlier reason remains. */
    public void revoke(AttemptRejection reason) {
        revocation.compareAndSet(null, reason);
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
