package cairnbridge.fleet.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts bytes, failures and rejected frames. Any thread may read. */
public final class TransportMetrics {
    private final Map<RejectionReason, LongAdder> rejections = new EnumMap<>(RejectionReason.class);
    private final LongAdder bytesSent = new LongAdder();
    private final LongAdder bytesReceived = new LongAdder();
    private final LongAdder datagramsOverLimit = new LongAdder();
    private final LongAdder failures = new LongAdder();

    TransportMetrics() {
        for (RejectionReason reason : RejectionReason.values()) {
            rejections.put(reason, new LongAdder());
        }
    }

    void countSent(int bytes) {
        bytesSent.add(bytes);
    }

    void countReceived(int bytes) {
        bytesReceived.add(bytes);
    }

    void countOverLimit() {
        datagramsOverLimit.increment();
    }

    void countFailure() {
        failures.increment();
    }

    void countRejection(RejectionReason reason) {
        rejections.get(reason).increment();
    }

    /** Bytes of datagrams and streams sent, without IP, UDP and TCP headers. */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /** Bytes of datagrams and streams received, without IP, UDP and TCP headers. */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /** Datagrams that were not sent because of the limit of bytes per second. */
    public long datagramsOverLimit() {
        return datagramsOverLimit.sum();
    }

    /** Calls that got no answer, and datagrams that the operating system did not send. */
    public long failures() {
        return failures.sum();
    }

    /** Frames that were rejected for the given reason. */
    public long rejections(RejectionReason reason) {
        return rejections.get(reason).sum();
    }
}
