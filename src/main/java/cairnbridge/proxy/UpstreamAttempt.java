package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Logger;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One attempt of a request at a node: sends the request, processes the response, and reports one
 * outcome. The reactor thread writes the request and reads the response; the coordinator thread may
 * abandon the attempt.
 */
final class UpstreamAttempt extends UpstreamExchange {
    private static final Logger LOG = Logger.getLogger(UpstreamAttempt.class.getName());

    /**
     * The longest time between the creation of a head and its first written byte: the head tells
     * the remaining time, which the platform allows to be 150 ms too long.
     */
    private static final long MAX_HEAD_AGE_TICKS = 100 * TickClock.TICKS_PER_MILLI;

    /** The progress of an attempt. */
    private enum Stage {
        /** The request has not been handed to a connection. */
        WAITING,
        /** The request was handed to a connection, which may write it later. */
        SENDING,
        /** The outcome is determined. */
        ENDED
    }

    final ClientExchange exchange;
    final NodeId node;
    final int attemptNumber;
    final long startedAtTicks;
    final SendPermit sendPermit;
    private final byte[] requestBody;
    private final long deadlineTicks;
    private final EventQueue eventQueue;
    private final TickClock clock;
    private final ProxyMetrics metrics;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
    private final AttemptResponse response;
    private boolean abandoned;

    /** Whether a byte of the request has been written. */
    private volatile boolean begun;

    /** Whether the head is the whole request. */
    private boolean headOnly;

    /** When the head was created. */
    private long headCreatedAtTicks;

    private volatile long writtenAtTicks;

    /**
     * Creates an attempt that is not sent yet.
     *
     * @param attemptNumber the attempts of a request are numbered from 0
     * @param deadlineTicks the deadline of the request
     * @param latestStartTicks the attempt fails as not sent unless its last byte is written before
     *     this time
     */
    UpstreamAttempt(
            ClientExchange exchange,
            NodeId node,
            int attemptNumber,
            long deadlineTicks,
            long latestStartTicks,
            EventQueue eventQueue,
            TickClock clock,
            ProxyMetrics metrics) {
        this.metrics = metrics;
        this.exchange = exchange;
        this.requestBody = exchange.requestBody;
        this.node = node;
        this.attemptNumber = attemptNumber;
        this.deadlineTicks = deadlineTicks;
        this.eventQueue = eventQueue;
        this.clock = clock;
        startedAtTicks = clock.now();
        sendPermit = exchange.sendPermit.forAttempt(latestStartTicks);
        response =
                new AttemptResponse(
                        exchange,
                        clock,
                        pipe -> eventQueue.post(new ProxyEvent.ResponseStreamStarted(this, pipe)));
    }

    /**
     * Abandons the attempt unless it has ended. The caller closes the connection and reports the
     * outcome.
     *
     * @return the outcome to report, which is CONNECT_FAILED in place of TIMED_OUT if nothing was
     *     sent; null if the attempt had ended
     */
    AttemptOutcome abandon(AttemptOutcome outcome) {
        Stage before = sendPermit.whileNotWriting(() -> stage.getAndSet(Stage.ENDED));
        if (before == Stage.ENDED) {
            return null;
        }
        abandoned = true;
        AttemptOutcome actual =
                !begun && outcome == AttemptOutcome.TIMED_OUT
                        ? AttemptOutcome.CONNECT_FAILED
                        : outcome;
        traceEnd(actual);
        return actual;
    }

    /** Whether the attempt has not ended. */
    boolean isOpen() {
        return stage.get() != Stage.ENDED;
    }

    /** Whether the coordinator has abandoned the attempt. */
    boolean isAbandoned() {
        return abandoned;
    }

    /** Whether the attempt is open and its request has not been handed to a connection. */
    boolean isWaiting() {
        return stage.get() == Stage.WAITING;
    }

    /** Whether the attempt is open and no byte of its request has been written. */
    boolean isUnsent() {
        return isOpen() && !begun;
    }

    private void completeOnce(AttemptOutcome outcome, byte[] body) {
        if (stage.getAndSet(Stage.ENDED) != Stage.ENDED) {
            postCompleted(outcome, body);
        }
    }

    private void traceEnd(AttemptOutcome outcome) {
        RequestTrace.attemptEnded(
                exchange.traceId, node, outcome, response.progress().receivedBytes());
    }

    private void postCompleted(AttemptOutcome outcome, byte[] body) {
        traceEnd(outcome);
        eventQueue.post(
                new ProxyEvent.AttemptCompleted(
                        this, outcome, response.cacheStatus(), body, clock.now()));
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        if (!isWaiting()) {
            throw new IOException("attempt was abandoned");
        }
        exchange.revokeIfClientClosed();
        extendPermit();
        throwIfRejected(sendPermit.rejection(clock.now()));
        startRequest();
        if (!stage.compareAndSet(Stage.WAITING, Stage.SENDING)) {
            throw new IOException("attempt was abandoned");
        }
        headCreatedAtTicks = clock.now();
        long remainingTicks = Math.max(1, deadlineTicks - headCreatedAtTicks);
        RequestTrace.attemptBegun(exchange.traceId, remainingTicks);
        BasicHttpRequest request =
                AttemptHead.of(exchange, connection.address.getHostString(), remainingTicks);
        if (exchange.requestPipe != null) {
            // Guards against two attempts that each send a part of one streamed body.
            if (!exchange.requestPipe.tryClaim()) {
                completeOnce(AttemptOutcome.NOT_SENT, null);
                throw new IOException("another attempt is sending the request body");
            }
            eventQueue.post(new ProxyEvent.RequestBodyClaimed(this));
        }
        MessageBody body =
                exchange.requestPipe != null
                        ? exchange.requestPipe
                        : new ByteArrayBody(requestBody);
        setBody(body);
        EntityDetails entity = body.entityDetails();
        headOnly = entity == null;
        channel.sendRequest(request, entity, context);
    }

    /**
     * Guards against a last byte that is sent too late: a node starts to execute the request when
     * it receives the last byte, however early the first one was sent.
     */
    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (!isWritten()) {
            exchange.revokeIfClientClosed();
            extendPermit();
            throwIfRejected(sendPermit.rejectionOfLastByte(clock.now()));
        }
        super.produce(out);
    }

    /** Guards against rejecting a client that sends its body for longer than its TTL. */
    private void extendPermit() {
        if (exchange.requestPipe != null) {
            sendPermit.extendTo(exchange.presentDeadlineTicks());
        }
    }

    /**
     * Fails the attempt as not sent if there is a reason. The node cannot have executed the
     * request: its last byte was not written, and the exception closes the connection.
     */
    private void throwIfRejected(AttemptRejection reason) throws IOException {
        if (reason != null) {
            if (isOpen()) {
                metrics.attemptRejected(reason);
            }
            completeOnce(AttemptOutcome.NOT_SENT, null);
            throw new IOException("attempt rejected: " + reason);
        }
    }

    /**
     * Guards against bytes that are written after the answer of their request, or after its client
     * has left: the library writes some time after the request was handed to it.
     */
    @Override
    int write(ByteBuffer source, WritableByteChannel socket) throws IOException {
        exchange.revokeIfClientClosed();
        extendPermit();
        if (isHeadOutdated()) {
            throwIfRejected(AttemptRejection.TOO_LATE);
        }
        int before = source.remaining();
        throwIfRejected(
                sendPermit.writeIfPermitted(clock, begun, () -> writeIfOpen(source, socket)));
        int count = before - source.remaining();
        if (count > 0) {
            RequestTrace.attemptBytesWritten(exchange.traceId, node, count);
        }
        if (headOnly && !isWritten() && !source.hasRemaining()) {
            requestWritten();
        }
        return count;
    }

    /** Whether the head, of which nothing is written, tells the server too much time. */
    private boolean isHeadOutdated() {
        return !begun
                && exchange.requestPipe == null
                && clock.now() - headCreatedAtTicks > MAX_HEAD_AGE_TICKS;
    }

    private void writeIfOpen(ByteBuffer source, WritableByteChannel socket) throws IOException {
        if (!isOpen()) {
            throw new IOException("attempt was abandoned");
        }
        if (socket.write(source) > 0) {
            begun = true;
        }
    }

    @Override
    void requestWritten() {
        writtenAtTicks = clock.now();
        metrics.attemptSent();
        RequestTrace.attemptWritten(exchange.traceId);
    }

    /** Whether the whole request has been written; if not, its connection cannot be reused. */
    boolean isWritten() {
        return writtenAtTicks > 0;
    }

    /** Whether the node may have received the last byte of the request, or may yet. */
    boolean mayHaveRun() {
        return begun && (isWritten() || stage.get() == Stage.SENDING);
    }

    /**
     * How long the node took. A streamed request counts from its last byte, so that the speed of
     * the client does not matter, and as 0 if that was never written; a streamed response counts
     * until its head was received.
     *
     * @param endedAtTicks the end of the attempt, or the present time
     */
    long durationTicks(long endedAtTicks) {
        long from =
                exchange.requestPipe == null
                        ? startedAtTicks
                        : writtenAtTicks > 0 ? writtenAtTicks : endedAtTicks;
        long until =
                response.isStreamed() ? response.progress().headReceivedAtTicks() : endedAtTicks;
        return Math.max(0, until - from);
    }

    @Override
    public void consumeResponse(HttpResponse head, EntityDetails entity, HttpContext context) {
        response.headReceived(head, entity);
        RequestTrace.responseHeadReceived(exchange.traceId, node, response.statusCode());
        if (entity == null) {
            streamEnd(List.of());
        }
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        response.bytesReceived(src);
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        response.grantCapacity(capacity);
    }

    /** How much of the response has arrived. */
    ResponseProgress responseProgress() {
        return response.progress();
    }

    /** Whether a successful response of unknown length has begun and is still buffered. */
    boolean isResponseHeld() {
        return isOpen() && response.isHeld();
    }

    /** See {@link AttemptResponse#streamHeld}. */
    BodyPipe streamHeldResponse() {
        return response.streamHeld();
    }

    @Override
    long streamedBytesIfReadable() {
        return isOpen() && response.isReadable() ? response.progress().receivedBytes() : -1;
    }

    @Override
    public void releaseResources() {
        response.release();
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        completeResponse();
        byte[] buffered = response.complete();
        completeOnce(response.outcome(), buffered);
    }

    @Override
    public void failed(Exception cause) {
        if (response.isStreamed() && isOpen()) {
            LOG.info("upstream: streamed response aborted by the node: " + cause);
        }
        // Guards against failing an attempt because its pooled connection was stale: no byte of the
        // request was written, so it can be sent on another connection.
        if (connection.reused && isWaiting()) {
            eventQueue.post(new ProxyEvent.PooledConnectionFailed(this));
            return;
        }
        Stage before = stage.getAndSet(Stage.ENDED);
        if (before != Stage.ENDED) {
            postCompleted(
                    begun ? AttemptOutcome.CONNECTION_LOST : AttemptOutcome.CONNECT_FAILED, null);
        }
    }
}
