package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Whether an attempt may still begin. It is given with the decision, asked again where the bytes
 * leave, and revoked by whoever learns better: the reactor that sees a client go, the owner that
 * answers the op or hears that a node drains. Any thread may ask and revoke; nothing here waits,
 * and nothing does I/O.
 */
final class SendPermit {
    /** That of the whole op; null in an op's own. */
    private final SendPermit requestPermit;

    private final long latestStartTicks;
    private final AtomicReference<AttemptRejection> revocation = new AtomicReference<>();

    /** An op's: for as long as its client waits for an answer. */
    SendPermit() {
        this(null, Long.MAX_VALUE);
    }

    private SendPermit(SendPermit op, long latestBegin) {
        this.requestPermit = op;
        this.latestStartTicks = latestBegin;
    }

    /** For one attempt of this op: not at latestBegin or later. */
    SendPermit forAttempt(long latestBegin) {
        return new SendPermit(this, latestBegin);
    }

    /** From now on nothing begins; the first cause stays. */
    void revoke(AttemptRejection why) {
        revocation.compareAndSet(null, why);
    }

    /** Why the first byte may not go out now; null where it may. */
    AttemptRejection rejection(long now) {
        AttemptRejection why = revocation.get();
        if (why == null && requestPermit != null) {
            why = requestPermit.rejection(now);
        }
        return why == null && now >= latestStartTicks ? AttemptRejection.TOO_LATE : why;
    }

    /**
     * The same for the last byte, with which a node begins. A send to a node that drains counts
     * from its first byte: what has begun in time is finished.
     */
    AttemptRejection rejectionOfLastByte(long now) {
        AttemptRejection why = rejection(now);
        return why == AttemptRejection.NODE_CLOSED ? requestPermit.rejection(now) : why;
    }
}
