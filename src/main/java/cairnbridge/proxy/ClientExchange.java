package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
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
 * One request of a client and its one answer. The reactor thread calls what {@link RequestHandler}
 * inherits from the HTTP library. The coordinator thread answers, by {@link #answerSuccess} and the
 * methods after it, and alone uses the request id. The states may be read by any thread.
 */
public final class ClientExchange implements RequestHandler {
    // Copies of the constants of RequestParser for the classes that read them here.
    static final String TRACE_ID_HEADER = RequestParser.TRACE_ID_HEADER;
    static final String TTL_HEADER = RequestParser.TTL_HEADER;
    static final String IDEMPOTENCY_KEY_HEADER = RequestParser.IDEMPOTENCY_KEY_HEADER;

    private static final Logger LOG = Logger.getLogger(ClientExchange.class.getName());

    /** Paths that begin so are answered by the proxy itself. */
    private static final String PROXY_PATH_PREFIX = "/-/";

    private static final String READINESS_PATH = "/-/ready";
    private static final String EXPECT_HEADER = "Expect";
    private static final byte[] NO_BYTES = {};
    private static final long NO_RETRY_ADVICE = 0;

    private final RequestContext context;
    private final ListenerState listenerState;
    private final ClientEvents events;
    private final Consumer<? super ClientExchange> onReleased;
    private final Runnable abortConnection;
    final SendPermit sendPermit = new SendPermit();
    private final RequestBody body = new RequestBody();
    private final ResponseSender response = new ResponseSender();

    /** Null until the head has been parsed; set by the reactor before the request is announced. */
    private ParsedRequest request;

    /** Null until the coordinator thread, which alone uses it, has assigned it. */
    RequestId requestId;

    // Copies of request(), requestBody() and requestPipe() for the classes that read fields.
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

    private volatile boolean requestComplete;
    private volatile boolean announced;
    private volatile boolean countedAsAccepted;
    private volatile boolean clientDisconnected;

    /** The last byte of the answer has been written, or the client has disconnected. */
    private volatile boolean finished;

    /**
     * An exchange whose request is yet to be received.
     *
     * @param events hears of the request once it is complete, or long enough to be streamed
     * @param onReleased is called once the HTTP library is done with this exchange
     * @param abortConnection closes the connection at once
     */
    public ClientExchange(
            RequestContext context,
            ListenerState listenerState,
            ClientEvents events,
            Consumer<? super ClientExchange> onReleased,
            Runnable abortConnection) {
        this.context = context;
        this.listenerState = listenerState;
        this.events = events;
        this.onReleased = onReleased;
        this.abortConnection = abortConnection;
    }

    /** As above with the listener's own context, for ConnectionReactor and tests. */
    ClientExchange(
            ListenerState listenerState,
            ClientEvents events,
            Consumer<? super ClientExchange> onReleased,
            Runnable abortConnection) {
        this(listenerState.requestContext(), listenerState, events, onReleased, abortConnection);
    }

    /** The request's head; null until it has been parsed. */
    public ParsedRequest request() {
        return request;
    }

    /** The whole body if it was buffered; empty if there is none, or if it is streamed. */
    public byte[] requestBody() {
        return body.bytes();
    }

    /** The body if it is streamed; null if it was buffered. */
    public BodyPipe requestPipe() {
        return body.pipe();
    }

    /** The permit that those of all attempts for this request derive from. */
    public SendPermit sendPermit() {
        return sendPermit;
    }

    /** A pipe for an answer; its length is negative if it is unknown. */
    public BodyPipe createPipe(long lengthBytes) {
        return new BodyPipe(context.pipedBytes(), lengthBytes);
    }

    /** The coordinator's id of the request; null until it has been assigned. */
    public RequestId requestId() {
        return requestId;
    }

    /** Assigns the coordinator's id, once. */
    public void assignRequestId(RequestId id) {
        requestId = id;
    }

    /** Whether the client has disconnected before it had its answer. */
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
     * Whether the client may have its answer. Guards against a next request that is rejected
     * because it came before this thread knew that it may.
     */
    public boolean isAnswered() {
        return finished
                || (response.isStarted()
                        && (!response.isStreaming() || response.isLastChunkInWriting()));
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

    /** How much of a streamed body has been received if more may come at once; else under 0. */
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
        if (target.startsWith(PROXY_PATH_PREFIX)) {
            sendAnswer(proxyPathStatus(target), NO_BYTES, NO_RETRY_ADVICE, entity != null);
            return;
        }
        try {
            request = RequestParser.parse(head, target, context);
        } catch (MalformedRequestException e) {
            byte[] fault = e.getMessage().getBytes(StandardCharsets.US_ASCII);
            sendAnswer(HttpStatus.SC_BAD_REQUEST, fault, NO_RETRY_ADVICE, true);
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
            requestComplete = true;
            if (!finished) {
                countAccepted();
            }
            body.pipe().finish();
            events.requestBodyCompleted(this, deadline());
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
        requestComplete = true;
        // Guards against a request that is expired on arrival: a client may take a second for its
        // body; its TTL runs from then.
        long deadlineTicks = deadline();
        if (!context.filter().intercept(this, deadlineTicks)) {
            announce(deadlineTicks);
            countAccepted();
        }
    }

    /**
     * The body is too long to be buffered: the request is announced now, and its TTL runs from the
     * last byte.
     */
    private void startStreaming(ByteBuffer source) {
        body.startStreaming(context.pipedBytes(), source);
        requestPipe = body.pipe();
        announce(
                context.streamingDeadline(
                        context.clock().now(), request.ttlTicks(), body.remainingBytes()));
    }

    private long deadline() {
        return context.deadline(context.clock().now(), request.ttlTicks());
    }

    private void announce(long deadlineTicks) {
        announced = true;
        events.requestArrived(this, deadlineTicks);
    }

    private void countAccepted() {
        if (!countedAsAccepted) {
            countedAsAccepted = true;
            context.metrics().requestAccepted();
        }
    }

    /** Sends a cache's answer, byte for byte. */
    public void answerSuccess(byte[] answer) {
        sendAnswer(HttpStatus.SC_OK, answer, NO_RETRY_ADVICE, false);
    }

    /** Streams a cache's answer from now on, byte for byte. */
    public void streamAnswer(BodyPipe answer) {
        response.markStreaming();
        if (!startAnswer(HttpStatus.SC_OK, answer, NO_RETRY_ADVICE, false)) {
            answer.discard();
        }
    }

    /** Answers as a cache without the value; only during warm-up is this proxy in its place. */
    public void answerNotFound() {
        sendAnswer(HttpStatus.SC_NOT_FOUND, NO_BYTES, NO_RETRY_ADVICE, false);
    }

    /** Rejects the request because its trace id is that of an open one. */
    public void rejectConflict() {
        sendAnswer(HttpStatus.SC_CONFLICT, NO_BYTES, NO_RETRY_ADVICE, true);
    }

    /**
     * Rejects the request, which the client may try again.
     *
     * @param retryAfterTicks what it is advised to wait before that; 0 for no advice
     */
    public void rejectRetryable(long retryAfterTicks) {
        sendAnswer(HttpStatus.SC_SERVICE_UNAVAILABLE, NO_BYTES, retryAfterTicks, false);
    }

    /** The request has failed for good. */
    public void failPermanently() {
        sendAnswer(HttpStatus.SC_BAD_GATEWAY, NO_BYTES, NO_RETRY_ADVICE, false);
    }

    private void sendAnswer(int status, byte[] answer, long retryAfterTicks, boolean close) {
        if (response.isStreaming()) {
            // Guards against an answer that broke off and seems whole: its connection ends before
            // it does.
            response.markFailed();
            finish();
            abortConnection.run();
            return;
        }
        startAnswer(status, new ByteArrayBody(answer), retryAfterTicks, close);
        body.discardStream();
    }

    /** Returns false if the client has been answered, or has disconnected. */
    private boolean startAnswer(
            int status, MessageBody answer, long retryAfterTicks, boolean close) {
        if (!response.tryStart()) {
            return false;
        }
        sendPermit.revoke(AttemptRejection.OP_OVER);
        boolean bodyIncomplete = body.isStreamed() && !requestComplete;
        boolean last = close || listenerState.isClosingConnections() || bodyIncomplete;
        try {
            if (response.send(status, answer, retryAfterTicks, last)) {
                finish();
            }
        } catch (HttpException | IOException e) {
            // The client's connection broke under the answer: nothing is owed to it any more.
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
        // Guards against an attempt that begins while the coordinator has not yet heard that its
        // client has disconnected.
        sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        clientDisconnected = true;
        boolean unanswered = response.tryStart();
        if (isStreamingAnswer()) {
            LOG.log(
                    Level.INFO,
                    "client: streamed response aborted by the client: {0}",
                    String.valueOf(cause));
        }
        if (announced && (unanswered || isStreamingAnswer())) {
            response.clearOutcome();
            events.clientDisconnected(this);
        }
        body.discardStream();
        response.discardStream();
        finish();
    }

    private boolean isStreamingAnswer() {
        return response.isStreaming() && !finished;
    }

    /** Counts the outcome of a request that was announced, once. */
    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        if (announced) {
            countAccepted();
            response.countOutcome(context.metrics(), request.category());
        }
    }

    @Override
    public void releaseResources() {
        body.releaseBuffer();
        onReleased.accept(this);
    }
}
