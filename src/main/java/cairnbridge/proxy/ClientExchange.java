package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request of a client and its response. The reactor's thread calls the methods that {@link
 * RequestHandler} inherits from the HTTP library. The coordinator thread answers the request, with
 * {@link #answerSuccess} and the methods after it, and is the only thread that uses the request id.
 * Any thread may query the state.
 */
public final class ClientExchange implements RequestHandler {
    // Aliases of the constants of RequestParser, for classes that refer to them by this class.
    static final String TRACE_ID_HEADER = RequestParser.TRACE_ID_HEADER;
    static final String TTL_HEADER = RequestParser.TTL_HEADER;
    static final String IDEMPOTENCY_KEY_HEADER = RequestParser.IDEMPOTENCY_KEY_HEADER;

    private static final Logger LOG = Logger.getLogger(ClientExchange.class.getName());

    private static final String READINESS_PATH = "/-/ready";
    private static final String EXPECT_HEADER = "Expect";
    private static final byte[] NO_BYTES = {};
    private static final long NO_RETRY_AFTER = 0;
    private static final long INCOMPLETE = -1;

    /** The longest time that a body waits for memory before its request is rejected. */
    private static final long MAX_MEMORY_WAIT_TICKS = Ticks.SECOND;

    private final RequestContext context;
    private final ListenerState listenerState;
    private final ClientEvents events;
    private final Consumer<? super ClientExchange> onReleased;
    private final Runnable abortConnection;
    private final ArrivalBound arrivalBound;
    private final BooleanSupplier hasClientClosed;
    final SendPermit sendPermit = new SendPermit();
    private final RequestBody body;
    private final ResponseSender response = new ResponseSender();

    /** What the body of this request occupies. */
    private final RequestMemory requestMemory;

    /** What the answers of this request's attempts occupy, buffered or streamed. */
    private final RequestMemory answerMemory;

    /**
     * Null until the head has been parsed; set by the reactor's thread before the coordinator is
     * notified of the request.
     */
    private ParsedRequest request;

    /** Null until the coordinator thread assigns it; used on that thread only. */
    RequestId requestId;

    // Copies of request(), requestBody() and requestPipe(), for classes that read the fields.
    String method;
    String target;
    String traceId;
    String idempotencyKey;
    CategoryId category;
    KeyId key;
    boolean write;
    boolean clientRetry;
    byte[] requestBody;
    volatile BodyPipe requestPipe;

    /** Set by the reactor's thread before the coordinator is notified of the deadline. */
    private long readDelayTicks;

    /** When the last byte of the request was sent, at the earliest; until then incomplete. */
    private volatile long lastByteTicks = INCOMPLETE;

    private volatile boolean requestComplete;
    private volatile boolean arrivalReported;
    private volatile boolean countedAsAccepted;
    private volatile boolean clientDisconnected;

    /** Whether the last byte of the response is written, or the client has disconnected. */
    private volatile boolean finished;

    /**
     * Creates an exchange whose request has not been received yet.
     *
     * @param events notified of the request once it is complete, or too long to be buffered
     * @param onReleased called once the HTTP library no longer uses this exchange
     * @param abortConnection closes the connection at once
     * @param arrivalBound bounds the time for which the request has waited to be read
     * @param hasClientClosed whether the client has closed its connection; see {@link
     *     #revokeIfClientClosed}
     */
    public ClientExchange(
            RequestContext context,
            ListenerState listenerState,
            ClientEvents events,
            Consumer<? super ClientExchange> onReleased,
            Runnable abortConnection,
            ArrivalBound arrivalBound,
            BooleanSupplier hasClientClosed) {
        this.context = context;
        this.listenerState = listenerState;
        this.events = events;
        this.onReleased = onReleased;
        this.abortConnection = abortConnection;
        this.arrivalBound = arrivalBound;
        this.hasClientClosed = hasClientClosed;
        requestMemory = new RequestMemory(context.requestBodies());
        answerMemory = new RequestMemory(context.answerBodies());
        body = new RequestBody(requestMemory, arrivalBound::completedPolls);
    }

    /** Creates an exchange with the request context of its listener. */
    ClientExchange(
            ListenerState listenerState,
            ClientEvents events,
            Consumer<? super ClientExchange> onReleased,
            Runnable abortConnection,
            ArrivalBound arrivalBound,
            BooleanSupplier hasClientClosed) {
        this(
                listenerState.requestContext(),
                listenerState,
                events,
                onReleased,
                abortConnection,
                arrivalBound,
                hasClientClosed);
    }

    /** The parsed head of the request; null until it has been parsed. */
    public ParsedRequest request() {
        return request;
    }

    /** The body if it is buffered; empty if there is no body, or if it is streamed. */
    public byte[] requestBody() {
        return body.bytes();
    }

    /** The body if it is streamed; null if it is buffered. */
    public BodyPipe requestPipe() {
        return body.pipe();
    }

    /** The permit of this request, from which the permits of its attempts are derived. */
    public SendPermit sendPermit() {
        return sendPermit;
    }

    /**
     * Revokes the permit if the client has closed its connection. Guards against an attempt that
     * begins long after the close, because the reactor was held up and has not read the close yet.
     * Called on the reactor's thread before an attempt is written.
     */
    void revokeIfClientClosed() {
        if (!finished && requestComplete && hasClientClosed.getAsBoolean()) {
            sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        }
    }

    /** Creates a pipe for a response; a negative length means that it is unknown. */
    public BodyPipe createPipe(long lengthBytes) {
        return new BodyPipe(answerMemory, lengthBytes);
    }

    /** What the answers of this request's attempts occupy of the memory budget. */
    RequestMemory answerMemory() {
        return answerMemory;
    }

    /** The time that its deadline does not grant the request because it waited to be read. */
    public long readDelayTicks() {
        return readDelayTicks;
    }

    /** The coordinator's id of the request; null until it has been assigned. */
    public RequestId requestId() {
        return requestId;
    }

    /** Assigns the coordinator's id, once. */
    public void assignRequestId(RequestId id) {
        requestId = id;
    }

    /** Whether the client has disconnected before it had its whole response. */
    public boolean hasClientDisconnected() {
        return clientDisconnected;
    }

    @Override
    public String traceId() {
        return request.traceId();
    }

    @Override
    public boolean isRequestComplete() {
        return requestComplete;
    }

    @Override
    public boolean isFinished() {
        return finished;
    }

    /**
     * Whether the client may have received its whole response. Guards against rejecting the
     * client's next request as pipelined if it arrives before the end of the response has been
     * recorded.
     */
    public boolean isAnswered() {
        return finished
                || (response.isStarted()
                        && (!response.isStreaming() || response.isWritingLastChunk()));
    }

    @Override
    public boolean isLastOnConnection() {
        return response.isLastOnConnection();
    }

    @Override
    public boolean isBackpressured() {
        return body.isBackpressured();
    }

    @Override
    public long receivedBytes() {
        return body.receivedBytes();
    }

    /**
     * The number of bytes received of a streamed body if more can be read now; otherwise less than
     * 0.
     */
    public long streamedBytesIfReadable() {
        boolean readable = body.isStreamed() && !requestComplete && !body.isBackpressured();
        return readable ? body.receivedBytes() : -1;
    }

    @Override
    public boolean isStalled(long nowNanos) {
        if (response.hasStreamedBody() && !finished) {
            return response.isStalled(nowNanos);
        }
        return !requestComplete && body.isStalled(nowNanos);
    }

    @Override
    public void handleRequest(
            HttpRequest head,
            EntityDetails entity,
            ResponseChannel responseChannel,
            HttpContext httpContext)
            throws HttpException, IOException {
        response.open(responseChannel, httpContext);
        String target = RequestParser.pathOf(head.getRequestUri());
        if (RequestParser.isForProxy(head)) {
            sendResponse(proxyPathStatus(target), NO_BYTES, NO_RETRY_AFTER, entity != null);
            return;
        }
        try {
            request = RequestParser.parse(head, target, context);
        } catch (MalformedRequestException e) {
            byte[] errorBody = e.getMessage().getBytes(StandardCharsets.US_ASCII);
            sendResponse(HttpStatus.SC_BAD_REQUEST, errorBody, NO_RETRY_AFTER, true);
            return;
        }
        copyRequest();
        if (entity == null) {
            completeRequest();
            return;
        }
        body.expect(entity);
        if (head.containsHeader(EXPECT_HEADER)) {
            response.sendContinue();
        }
    }

    private void copyRequest() {
        method = request.method();
        target = request.target();
        traceId = request.traceId();
        idempotencyKey = request.idempotencyKey();
        category = request.category();
        key = request.key();
        write = request.write();
        clientRetry = request.clientRetry();
    }

    private int proxyPathStatus(String target) {
        if (!target.equals(READINESS_PATH)) {
            return HttpStatus.SC_NOT_FOUND;
        }
        return listenerState.isReady() ? HttpStatus.SC_OK : HttpStatus.SC_SERVICE_UNAVAILABLE;
    }

    @Override
    public void consume(ByteBuffer source) throws IOException {
        body.countReceived(source.remaining());
        if (body.isTooLong()) {
            abortConnection.run();
        } else if (body.isStreamed()) {
            body.pipe().append(source);
        } else if (body.isBuffering() && !response.isStarted() && !body.tryBuffer(source)) {
            startStreaming(source);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (body.isStreamed()) {
            recordLastByte();
            requestComplete = true;
            if (!finished) {
                countAccepted();
            }
            body.pipe().finish();
            long deadlineTicks = presentDeadlineTicks();
            traceRead(deadlineTicks);
            events.requestBodyCompleted(this, deadlineTicks);
        } else if (body.isBuffering() && !response.isStarted()) {
            completeRequest();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        body.requestCapacity(capacity);
    }

    private void completeRequest() {
        body.completeBuffered();
        requestBody = body.bytes();
        // Guards against a request whose TTL has expired on arrival: a client may take a second to
        // send its body, so the TTL runs from the last byte.
        recordLastByte();
        requestComplete = true;
        long deadlineTicks = presentDeadlineTicks();
        traceRead(deadlineTicks);
        if (!context.filter().intercept(this, deadlineTicks)) {
            reportArrival(deadlineTicks);
            countAccepted();
        }
    }

    /** Reports the arrival of a request whose body is too long to be buffered. */
    private void startStreaming(ByteBuffer source) {
        body.startStreaming(source);
        if (!body.isStreamed()) {
            return;
        }
        requestPipe = body.pipe();
        reportArrival(presentDeadlineTicks());
    }

    /** Records that the last byte of the request has just been read. */
    private void recordLastByte() {
        readDelayTicks = Math.max(arrivalBound.delayTicks(), unreadTicks());
        lastByteTicks = context.clock().now() - readDelayTicks;
    }

    /**
     * The time by which the request must be answered, as far as it is known: its TTL runs from the
     * last byte. While the body is being received, it is the deadline of a client that has sent the
     * last byte as early as it can have. Called on any thread, once the head has been parsed.
     */
    long presentDeadlineTicks() {
        long lastByte = lastByteTicks;
        long sentTicks = lastByte == INCOMPLETE ? context.clock().now() - unreadTicks() : lastByte;
        return context.deadline(sentTicks, request.ttlTicks());
    }

    private long unreadTicks() {
        return body.unreadNanos() / TickClock.NANOS_PER_TICK;
    }

    /** Called on the reactor's thread before input is read. */
    void inputBegins() {
        body.inputBegins();
    }

    /** See {@link RequestBody#hasWaitedSinceLastCall}; called on the coordinator thread. */
    boolean hasBodyWaitedSinceLastCall() {
        return body.hasWaitedSinceLastCall();
    }

    /** Called on the reactor's thread when everything that the client has sent has been read. */
    void inputDrained() {
        body.inputDrained();
    }

    private void traceRead(long deadlineTicks) {
        RequestTrace.requestRead(traceId, deadlineTicks - context.clock().now());
    }

    private void reportArrival(long deadlineTicks) {
        arrivalReported = true;
        events.requestArrived(this, deadlineTicks);
    }

    private void countAccepted() {
        if (!countedAsAccepted) {
            countedAsAccepted = true;
            context.metrics().requestAccepted();
        }
    }

    /** Sends the response of a cache, byte for byte. */
    public void answerSuccess(byte[] answer) {
        sendResponse(HttpStatus.SC_OK, answer, NO_RETRY_AFTER, false);
    }

    /** Streams the response of a cache, byte for byte, as the pipe receives it. */
    public void streamAnswer(BodyPipe answer) {
        response.markStreaming();
        if (!startResponse(HttpStatus.SC_OK, answer, NO_RETRY_AFTER, false)) {
            answer.discard();
        }
    }

    /**
     * Answers like a cache that does not have the value. Used only during warm-up, in which this
     * proxy is its own cache.
     */
    public void answerNotFound() {
        sendResponse(HttpStatus.SC_NOT_FOUND, NO_BYTES, NO_RETRY_AFTER, false);
    }

    /** Rejects the request because another unanswered request has the same trace id. */
    public void rejectConflict() {
        sendResponse(HttpStatus.SC_CONFLICT, NO_BYTES, NO_RETRY_AFTER, true);
    }

    /**
     * Rejects the request with a status that allows the client to retry it.
     *
     * @param retryAfterTicks the delay that the client is advised to wait before a retry, in ticks;
     *     0 for no advice
     */
    public void rejectRetryable(long retryAfterTicks) {
        sendResponse(HttpStatus.SC_SERVICE_UNAVAILABLE, NO_BYTES, retryAfterTicks, false);
    }

    /** Fails the request with a status that does not invite the client to retry it. */
    public void failPermanently() {
        sendResponse(HttpStatus.SC_BAD_GATEWAY, NO_BYTES, NO_RETRY_AFTER, false);
    }

    /**
     * Rejects the request if its body waits for memory, and has waited too long, perhaps several
     * times. Guards against clients that get no answer while others fill the memory with requests
     * that they do not finish. Called on any thread.
     */
    void rejectIfMemoryIsMissing() {
        if (body.presentWaitNanos() > 0 && unreadTicks() >= memoryWaitLimitTicks()) {
            sendResponse(HttpStatus.SC_SERVICE_UNAVAILABLE, NO_BYTES, NO_RETRY_AFTER, true);
            body.releaseBuffer();
            context.requestRejectedForMemory();
        }
    }

    private long memoryWaitLimitTicks() {
        return Math.min(MAX_MEMORY_WAIT_TICKS, request.ttlTicks() / 2);
    }

    private void sendResponse(int status, byte[] content, long retryAfterTicks, boolean close) {
        if (response.isStreaming()) {
            // Guards against a truncated response that looks complete: the connection is closed
            // before the end of the body is sent.
            response.markFailed();
            finish();
            abortConnection.run();
            return;
        }
        startResponse(status, new ByteArrayBody(content), retryAfterTicks, close);
        body.discardStream();
    }

    /** Returns false if the request has been answered already, or the client has disconnected. */
    private boolean startResponse(
            int status, MessageBody content, long retryAfterTicks, boolean close) {
        if (!response.tryStart()) {
            return false;
        }
        sendPermit.revoke(AttemptRejection.OP_OVER);
        RequestTrace.responseStarted(traceId, status);
        boolean bodyIncomplete = body.isStreamed() && !requestComplete;
        boolean last = close || listenerState.isClosingConnections() || bodyIncomplete;
        try {
            if (response.send(status, content, retryAfterTicks, last)) {
                finish();
            }
        } catch (HttpException | IOException e) {
            // The client's connection failed during the response: nothing more can be sent.
            clientDisconnected = true;
            response.terminate();
            finish();
        }
        return true;
    }

    @Override
    public int available() {
        return response.availableBytes();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (response.writeTo(out)) {
            finish();
        }
    }

    @Override
    public void failed(Exception cause) {
        // Guards against an attempt that begins before the coordinator has processed the event that
        // its client has disconnected.
        sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        clientDisconnected = true;
        boolean unanswered = response.tryStart();
        if (isStreamingResponse()) {
            LOG.log(
                    Level.INFO,
                    "client: streamed response aborted by the client: {0}",
                    String.valueOf(cause));
        }
        if (arrivalReported && (unanswered || isStreamingResponse())) {
            response.clearOutcome();
            events.clientDisconnected(this);
        }
        body.discardStream();
        response.discardStream();
        finish();
    }

    private boolean isStreamingResponse() {
        return response.isStreaming() && !finished;
    }

    /** Marks the exchange as finished; counts its outcome once, if its arrival was reported. */
    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        if (arrivalReported) {
            countAccepted();
            response.countOutcome(context.metrics(), request.category());
        }
    }

    @Override
    public void releaseResources() {
        body.releaseBuffer();
        body.discardStream();
        response.discardStream();
        requestMemory.close();
        answerMemory.close();
        onReleased.accept(this);
    }
}
