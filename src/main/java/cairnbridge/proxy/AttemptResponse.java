package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * The response of a node to one attempt: buffered, or streamed to the client. The reactor's thread
 * receives it; the coordinator thread may begin to stream it.
 */
final class AttemptResponse {
    /**
     * Guards against holding back a chunked response that a node sends slowly: if it is incomplete
     * this long after its head, its next bytes are streamed to the client.
     */
    private static final long STREAM_AFTER_TICKS = 100 * TickClock.TICKS_PER_MILLI;

    private static final long LENGTH_UNKNOWN = -1;

    private final ClientExchange exchange;
    private final TickClock clock;
    private final Consumer<? super BodyPipe> onStreamStarted;
    private final ResponseProgress progress = new ResponseProgress();
    private int statusCode;
    private int cacheStatus;
    private boolean neverRan;

    /**
     * Null before the head of the response is received, and once its bytes are not needed any more.
     * The status code is set before it.
     */
    private volatile ResponseBody body;

    /**
     * Creates a response of which nothing is received.
     *
     * @param onStreamStarted receives the pipe if the reactor's thread begins to stream the body
     */
    AttemptResponse(
            ClientExchange exchange, TickClock clock, Consumer<? super BodyPipe> onStreamStarted) {
        this.exchange = exchange;
        this.clock = clock;
        this.onStreamStarted = onStreamStarted;
    }

    /** Receives the head; a body that is known to be long is streamed from the start. */
    void headReceived(HttpResponse head, EntityDetails entity) {
        statusCode = head.getCode();
        neverRan = ServerHeaders.neverRan(head);
        cacheStatus = ServerHeaders.cacheStatus(head);
        progress.headReceived(entity, clock.now());
        body = new ResponseBody(exchange, entity);
        if (entity != null && isSuccess() && progress.isLong()) {
            startStreaming(progress.announcedBytes());
        }
    }

    /**
     * Receives a part of the body.
     *
     * @throws IOException if the body is too long to be forwarded
     */
    void bytesReceived(ByteBuffer source) throws IOException {
        progress.bytesReceived(source.remaining(), clock.now());
        if (progress.receivedBytes() > MessageFraming.MAX_BODY_BYTES) {
            throw new IOException("response body is too long");
        } else if (!isBodyNeeded()) {
            source.position(source.limit());
            return;
        }
        if (!isHeldBack() && body.tryBuffer(source)) {
            return;
        }
        startStreaming(LENGTH_UNKNOWN);
        body.pipe().append(source);
    }

    /** Whether a chunked response has been buffered for so long that it is streamed. */
    private boolean isHeldBack() {
        return progress.isChunked()
                && clock.now() - progress.headReceivedAtTicks() >= STREAM_AFTER_TICKS;
    }

    /**
     * Whether the body may still be sent to the client: not that of an error response, nor one that
     * was buffered for a client that has its answer or has disconnected.
     */
    private boolean isBodyNeeded() {
        return isSuccess() && (isStreamed() || !exchange.isFinished());
    }

    /** Begins to stream the body, unless the coordinator thread has begun to. */
    private void startStreaming(long lengthBytes) {
        BodyPipe created = body.startStreaming(lengthBytes);
        if (created != null) {
            onStreamStarted.accept(created);
        }
    }

    /**
     * Grants capacity to the node. Guards against answers that together fill the heap: an answer
     * for which no memory is left is streamed, so that the node waits until the client has taken
     * what came before.
     */
    void grantCapacity(CapacityChannel capacity) throws IOException {
        if (isBodyNeeded() && !body.tryReserve()) {
            startStreaming(progress.announcedBytes());
        }
        body.grantCapacity(capacity);
    }

    /** Whether a successful response of unknown length has begun and is still buffered. */
    boolean isHeld() {
        ResponseBody received = body;
        return received != null
                && !received.isStreamed()
                && isSuccess()
                && progress.announcedBytes() < 0;
    }

    /**
     * Begins to stream a response that is held; called on the coordinator thread.
     *
     * @return its pipe; null if the response is complete or streamed
     */
    BodyPipe streamHeld() {
        ResponseBody received = body;
        return received == null ? null : received.startStreaming(LENGTH_UNKNOWN);
    }

    /** Completes the response; the bytes of a buffered success, otherwise null. */
    byte[] complete() {
        if (!isSuccess()) {
            return null;
        }
        byte[] buffered = body.complete();
        if (buffered == null) {
            body.pipe().finish();
        } else {
            body = null;
        }
        return buffered;
    }

    /** The outcome that a complete response means. */
    AttemptOutcome outcome() {
        return switch (statusCode) {
            case HttpStatus.SC_OK -> AttemptOutcome.SUCCESS;
            case HttpStatus.SC_NOT_FOUND -> AttemptOutcome.CACHE_MISS;
            case HttpStatus.SC_SERVICE_UNAVAILABLE, HttpStatus.SC_GATEWAY_TIMEOUT ->
                    neverRan ? AttemptOutcome.OVERLOADED : AttemptOutcome.ERROR;
            default -> AttemptOutcome.ERROR;
        };
    }

    private boolean isSuccess() {
        return statusCode == HttpStatus.SC_OK;
    }

    /** The status in the head; 0 before it is received. */
    int statusCode() {
        return statusCode;
    }

    /** 1 for a hit, 2 or 3 for a miss, 0 if the node sent no cache status. */
    int cacheStatus() {
        return cacheStatus;
    }

    /** How much of the response has arrived. */
    ResponseProgress progress() {
        return progress;
    }

    boolean isStreamed() {
        ResponseBody received = body;
        return received != null && received.isStreamed();
    }

    /** Whether more of a streamed body can be read now. */
    boolean isReadable() {
        return isStreamed() && !body.pipe().isBackpressured();
    }

    /** Guards against answers of failed attempts that are counted until their request is over. */
    void release() {
        ResponseBody received = body;
        if (received != null && !received.isStreamed()) {
            received.release();
            body = null;
        }
    }
}
