package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.hash.Fnv1a;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.logging.Logger;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request of a client and its one answer: read on the reactor, answered by the owner thread.
 */
final class ClientExchange implements AsyncServerExchangeHandler {
    static final String TRACE_ID_HEADER = "X-Trace-Id";
    static final String TTL_HEADER = "X-Expires-In";
    static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";
    private static final String RETRY_HEADER = "X-Second-Try";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int SERVICE_UNAVAILABLE = 503;

    private static final Logger LOG = Logger.getLogger(ClientExchange.class.getName());
    private final ListenerState listenerState;
    private final EventQueue eventQueue;
    private final Consumer<ClientExchange> onReleased;
    private final Runnable abortConnection;

    /**
     * over: its answer has begun; finished: the answer's last byte is handed over, or the client is
     * gone.
     */
    private final AtomicBoolean answerStarted = new AtomicBoolean();

    /** That of all attempts for it. */
    final SendPermit sendPermit = new SendPermit();

    private volatile boolean requestComplete;
    private volatile boolean announced;
    private volatile boolean clientDisconnected;
    private volatile boolean lastOnConnection;
    private volatile boolean countedAsAccepted;
    private volatile boolean warmupRequest;
    private volatile boolean finished;
    private volatile boolean streaming;
    private volatile long receivedBytes;
    private volatile ProxyMetrics.RequestOutcome outcome;
    private ResponseChannel channel;
    private HttpContext context;
    private BufferedBody bufferedBody;
    private long bodyLengthBytes;
    private long ttlTicks;
    private MessageBody responseBody = new ByteArrayBody(null);

    /** A body that passes through; null for one that was gathered whole, as value. */
    volatile BodyPipe requestPipe;

    String method;
    String target;
    String traceId;
    String idempotencyKey;
    CategoryId category;
    KeyId key;
    boolean write;
    boolean clientRetry;
    byte[] requestBody;

    /** Set by the owner thread. */
    RequestId requestId;

    /** released is told when the library is done with it; cut ends the connection at once. */
    ClientExchange(
            ListenerState listen,
            EventQueue inbox,
            Consumer<ClientExchange> released,
            Runnable cut) {
        this.abortConnection = cut;
        this.listenerState = listen;
        this.eventQueue = inbox;
        this.onReleased = released;
    }

    /** The request has been read to its last byte and goes its way. */
    boolean isRequestComplete() {
        return requestComplete;
    }

    boolean isFinished() {
        return finished;
    }

    /** The client has left before its answer. */
    boolean hasClientDisconnected() {
        return clientDisconnected;
    }

    /**
     * Guards against a next request refused because it came before this thread knew that it may.
     */
    boolean isAnswered() {
        return finished
                || answerStarted.get()
                        && (!streaming
                                || responseBody instanceof BodyPipe answer
                                        && answer.isLastChunkInWriting());
    }

    /** Bytes of its body that have come. */
    long receivedBytes() {
        return receivedBytes;
    }

    /**
     * The client is waited for no longer than this: its body stands still because the proxy takes
     * none.
     */
    boolean isBackpressured() {
        BodyPipe body = requestPipe;
        return body != null && body.isBackpressured();
    }

    /** How much has come of a body that passes through and may come faster; else under 0. */
    long streamedBytesIfReadable() {
        BodyPipe body = requestPipe;
        return body != null && !requestComplete && !body.isBackpressured() ? receivedBytes : -1;
    }

    /** What passes through, either way, stands still. */
    boolean isStalled(long now) {
        BodyPipe body = requestPipe;
        if (streaming && !finished && responseBody instanceof BodyPipe answer) {
            return answer.isStalled(now);
        }
        return body != null && !requestComplete && body.isStalled(now);
    }

    BodyPipe createPipe(long length) {
        return new BodyPipe(listenerState.pipedBytes, length);
    }

    /** The connection ends with this one's answer. */
    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            EntityDetails entity,
            ResponseChannel response,
            HttpContext httpContext)
            throws HttpException, IOException {
        channel = response;
        context = httpContext;
        method = request.getMethod();
        target = ListenerState.pathOf(request.getRequestUri());
        if (target.startsWith("/-/")) {
            boolean known = target.equals("/-/ready");
            sendAnswer(
                    !known ? NOT_FOUND : listenerState.isReady() ? OK : SERVICE_UNAVAILABLE,
                    new byte[0],
                    0,
                    entity != null);
            return;
        }
        String fault = parseRequest(request);
        if (fault != null) {
            sendAnswer(BAD_REQUEST, fault.getBytes(StandardCharsets.US_ASCII), 0, true);
        } else if (entity == null) {
            completeRequest();
        } else {
            bufferedBody = new BufferedBody(entity);
            bodyLengthBytes = entity.getContentLength();
            if (request.containsHeader("Expect")) {
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
        }
    }

    /**
     * Takes out the fields that decisions need; the rest goes on as it came. Returns what is
     * malformed.
     */
    private String parseRequest(HttpRequest request) {
        traceId = headerValue(request, TRACE_ID_HEADER);
        if (traceId == null || traceId.isEmpty()) {
            return TRACE_ID_HEADER + " is missing";
        }
        ttlTicks = ListenerState.parseTtlTicks(headerValue(request, TTL_HEADER));
        if (ttlTicks <= 0) {
            return TTL_HEADER + " is missing or no span";
        }
        write = method.equals("PUT");
        if (!write && !method.equals("GET")) {
            return "method is neither GET nor PUT";
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int slash = path.indexOf('/', 1);
        String first = path.isEmpty() ? "" : path.substring(1, slash < 0 ? path.length() : slash);
        Integer number = path.startsWith("/") ? listenerState.categoryNumber(first) : null;
        if (number == null) {
            return "unknown category";
        }
        category = new CategoryId(number);
        String last = slash < 0 ? "" : path.substring(path.lastIndexOf('/') + 1);
        key = last.isEmpty() ? null : new KeyId(Fnv1a.hash(last));
        clientRetry = "1".equals(headerValue(request, RETRY_HEADER));
        idempotencyKey = headerValue(request, IDEMPOTENCY_KEY_HEADER);
        return null;
    }

    private static String headerValue(HttpRequest request, String name) {
        Header header = request.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    private void completeRequest() {
        requestBody = bufferedBody == null ? null : bufferedBody.toByteArray();
        bufferedBody = null;
        requestComplete = true;
        // Guards against an op dead on arrival: a client may take a second for its body; its TTL
        // runs then.
        long expires = listenerState.deadline(listenerState.clock.now(), ttlTicks);
        Warmup warm = listenerState.warmup;
        if (warm != null && warm.isWarmupRequest(traceId)) {
            warmupRequest = true;
            warm.answerWarmup(this, expires);
        } else {
            announceRequest(expires);
            countAccepted();
        }
    }

    private void announceRequest(long latest) {
        announced = true;
        eventQueue.post(new ProxyEvent.RequestArrived(this, latest));
    }

    /**
     * The body is too long to be gathered: the op is placed now, and its TTL runs from the last
     * byte.
     */
    private void startStreaming(ByteBuffer src) {
        BodyPipe through = createPipe(bodyLengthBytes);
        through.append(ByteBuffer.wrap(bufferedBody.toByteArray()));
        through.append(src);
        bufferedBody = null;
        requestPipe = through;
        announceRequest(
                listenerState.streamingDeadline(
                        listenerState.clock.now(),
                        ttlTicks,
                        (bodyLengthBytes < 0 ? MessageFraming.MAX_BODY_BYTES : bodyLengthBytes)
                                - receivedBytes));
    }

    private void countAccepted() {
        if (!countedAsAccepted) {
            countedAsAccepted = true;
            listenerState.metrics.requestAccepted();
        }
    }

    /**
     * The op is over, its answer's last byte handed over. Once; what the rehearsal sends never
     * counts.
     */
    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        if (warmupRequest || !announced) {
            return;
        }
        countAccepted();
        if (outcome == null) {
            listenerState.metrics.clientLeft();
        } else {
            listenerState.metrics.requestEnded(category.value(), outcome);
        }
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        receivedBytes += src.remaining();
        if (receivedBytes > MessageFraming.MAX_BODY_BYTES) {
            abortConnection.run();
        } else if (requestPipe != null) {
            requestPipe.append(src);
        } else if (bufferedBody != null && !answerStarted.get() && !bufferedBody.tryAppend(src)) {
            startStreaming(src);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (requestPipe != null) {
            requestComplete = true;
            if (!finished) {
                countAccepted();
            }
            requestPipe.finish();
            eventQueue.post(
                    new ProxyEvent.RequestBodyCompleted(
                            this, listenerState.deadline(listenerState.clock.now(), ttlTicks)));
        } else if (bufferedBody != null && !answerStarted.get()) {
            completeRequest();
        }
    }

    /** The id is that of an op that is open. */
    void rejectConflict() {
        sendAnswer(CONFLICT, new byte[0], 0, true);
    }

    /** As a cache would say it: only the rehearsal has this proxy in a cache's place. */
    void answerNotFound() {
        sendAnswer(NOT_FOUND, new byte[0], 0, false);
    }

    /** The cache's answer passes through from now on, byte for byte. */
    void streamAnswer(BodyPipe answer) {
        streaming = true;
        if (!startAnswer(OK, answer, 0, false)) {
            answer.discard();
        }
    }

    /** The cache's answer, byte for byte. */
    void answerSuccess(byte[] bytes) {
        sendAnswer(OK, bytes, 0, false);
    }

    void rejectRetryable(long retryAfter) {
        sendAnswer(SERVICE_UNAVAILABLE, new byte[0], retryAfter, false);
    }

    void failPermanently() {
        sendAnswer(BAD_GATEWAY, new byte[0], 0, false);
    }

    private void sendAnswer(int code, byte[] bytes, long retryAfter, boolean close) {
        if (streaming) {
            // Guards against an answer that broke off and seems whole: its connection ends before
            // it does.
            outcome = ProxyMetrics.RequestOutcome.FAILURE;
            finish();
            abortConnection.run();
            return;
        }
        startAnswer(code, new ByteArrayBody(bytes), retryAfter, close);
        if (requestPipe != null) {
            requestPipe.discard(); // What is still to come of the op's body goes nowhere.
        }
    }

    /** False where the client has been answered, or has left. */
    private boolean startAnswer(int code, MessageBody bytes, long retryAfter, boolean close) {
        if (!answerStarted.compareAndSet(false, true)) {
            return false;
        }
        sendPermit.revoke(AttemptRejection.OP_OVER);
        HttpResponse response = new BasicHttpResponse(code);
        if (retryAfter > 0) {
            // Without a formatter: nacks come by hundreds just when time is short.
            String fraction =
                    Long.toString(
                                    TickClock.TICKS_PER_SECOND
                                            + retryAfter % TickClock.TICKS_PER_SECOND)
                            .substring(1);
            response.addHeader(
                    "Retry-After", retryAfter / TickClock.TICKS_PER_SECOND + "." + fraction);
        }
        if (close
                || listenerState.isClosingConnections()
                || requestPipe != null && !requestComplete) {
            lastOnConnection = true;
            response.addHeader("Connection", "close");
        }
        responseBody = bytes;
        outcome =
                switch (code) {
                    case OK -> ProxyMetrics.RequestOutcome.SUCCESS;
                    case SERVICE_UNAVAILABLE -> ProxyMetrics.RequestOutcome.BUSY;
                    case BAD_GATEWAY -> ProxyMetrics.RequestOutcome.FAILURE;
                    default -> null; // Not an op of its client's.
                };
        try {
            EntityDetails entity = bytes.entityDetails();
            channel.sendResponse(response, entity, context);
            if (entity == null) {
                finish();
            }
        } catch (HttpException | IOException e) {
            // The client's connection broke under the answer: nothing is owed to it any more.
            clientDisconnected = true;
            channel.terminateExchange();
            finish();
        }
        return true;
    }

    @Override
    public int available() {
        return responseBody.availableBytes();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (responseBody.writeTo(out)) {
            finish();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (requestPipe != null) {
            requestPipe.requestCapacity(capacity);
        } else {
            capacity.update(BufferedBody.MAX_BYTES);
        }
    }

    @Override
    public void failed(Exception cause) {
        // Guards against an attempt that begins while the owner has not yet heard that its client
        // has gone.
        sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        clientDisconnected = true;
        boolean unanswered = answerStarted.compareAndSet(false, true);
        if (streaming && !finished) {
            LOG.info("an answer that passed through broke off at the client: " + cause);
        }
        if (announced && (unanswered || streaming && !finished)) {
            outcome = null;
            eventQueue.post(new ProxyEvent.ClientDisconnected(this));
        }
        for (MessageBody each : new MessageBody[] {requestPipe, responseBody}) {
            if (each instanceof BodyPipe passing) {
                passing.discard();
            }
        }
        finish();
    }

    @Override
    public void releaseResources() {
        bufferedBody = null;
        onReleased.accept(this);
    }
}
