package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether an attempt may still be sent. It is issued with the decision to send, checked again where
 * the bytes leave, and revoked by whoever learns of a reason: the reactor thread that sees a client
 * disconnect, the coordinator thread that answers the request or hears that a node drains. Any
 * thread may call it; nothing here waits or does I/O.
 */
public final class SendPermit {
    /** The permit of the attempt's request; null in a request's own. */
    private final SendPermit requestPermit;

    private final long latestStartTicks;

    /** Null until it is revoked. */
    private final AtomicReference<AttemptRejection> revocation = new AtomicReference<>();

    /** A request's: valid for as long as its client waits for an answer. */
    public SendPermit() {
        this(null, Long.MAX_VALUE);
    }

    private SendPermit(SendPermit requestPermit, long latestStartTicks) {
        this.requestPermit = requestPermit;
        this.latestStartTicks = latestStartTicks;
    }

    /**
     * For one attempt of this request.
     *
     * @param latestStartTicks the first time at which it is too late, in ticks
     */
    public SendPermit forAttempt(long latestStartTicks) {
        return new SendPermit(this, latestStartTicks);
    }

    /** From now on nothing is sent; the first reason stays. */
    public void revoke(AttemptRejection reason) {
        revocation.compareAndSet(null, reason);
    }

    /** Why the first byte may not be sent now; null if it may. */
    public AttemptRejection rejection(long now) {
        AttemptRejection reason = revocation.get();
        if (reason == null && requestPermit != null) {
            reason = requestPermit.rejection(now);
        }
        return reason == null && now >= latestStartTicks ? AttemptRejection.TOO_LATE : reason;
    }

    /**
     * The same for the last byte of an attempt, with which a node begins to work on it. A request
     * sent to a node that drains counts from its first byte: what was begun in time is finished.
     */
    public AttemptRejection rejectionOfLastByte(long now) {
        AttemptRejection reason = rejection(now);
        return reason == AttemptRejection.NODE_CLOSED ? requestPermit.rejection(now) : reason;
    }
}
