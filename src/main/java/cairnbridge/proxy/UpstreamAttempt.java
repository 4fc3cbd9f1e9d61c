package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.io.IOException;
import java.nio.ByteBuffer;
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

/** One push on the wire: its request, its answer, and its one ending. */
final class UpstreamAttempt extends UpstreamExchange {
    private static final Logger LOG = Logger.getLogger(UpstreamAttempt.class.getName());
    private static final int OK = 200;

    /**
     * Guards against an answer of unknown length held back from its client while it comes in
     * pieces.
     */
    private static final long STREAM_AFTER_TICKS = 100 * TickClock.TICKS_PER_MILLI;

    /** HANDED: bytes may have gone out, so that from then on the op may have run. */
    private enum Stage {
        WAITING,
        SENDING,
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
    private int statusCode;
    private int storeNote;
    private boolean neverRan;
    private BufferedBody bufferedResponse;

    /** The answer passes through; null while it is gathered. */
    private BodyPipe responsePipe;

    private boolean lengthUnknown;
    private boolean abandoned;
    private long headReceivedAtTicks;
    private long receivedBytes;
    private volatile long writtenAtTicks;

    /** latestBegin: its last byte leaves before that, or not at all. */
    UpstreamAttempt(
            ClientExchange client,
            NodeId node,
            int number,
            long expires,
            long latestBegin,
            EventQueue inbox,
            TickClock clock,
            ProxyMetrics figures) {
        this.metrics = figures;
        this.exchange = client;
        this.requestBody = client.requestBody;
        this.node = node;
        this.attemptNumber = number;
        this.deadlineTicks = expires;
        this.eventQueue = inbox;
        this.clock = clock;
        startedAtTicks = clock.now();
        sendPermit = client.sendPermit.forAttempt(latestBegin);
    }

    /**
     * Gives the push up: its ending, or null where it had ended. The caller closes the connection.
     */
    AttemptOutcome abandon(AttemptOutcome ending) {
        Stage before = stage.getAndSet(Stage.ENDED);
        if (before == Stage.ENDED) {
            return null;
        }
        abandoned = true;
        return before == Stage.WAITING && ending == AttemptOutcome.TIMED_OUT
                ? AttemptOutcome.CONNECT_FAILED
                : ending;
    }

    boolean isOpen() {
        return stage.get() != Stage.ENDED;
    }

    /** The owner has given it up, whatever still comes of it. */
    boolean isAbandoned() {
        return abandoned;
    }

    /** Not a byte has gone out, and none has been promised to. */
    boolean isWaiting() {
        return stage.get() == Stage.WAITING;
    }

    private void completeOnce(AttemptOutcome ending, byte[] body) {
        if (stage.getAndSet(Stage.ENDED) != Stage.ENDED) {
            postCompleted(ending, body);
        }
    }

    private void postCompleted(AttemptOutcome ending, byte[] body) {
        eventQueue.post(
                new ProxyEvent.AttemptCompleted(this, ending, storeNote, body, clock.now()));
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        if (!isWaiting()) {
            throw new IOException("push given up");
        }
        throwIfRejected(sendPermit.rejection(clock.now()));
        startRequest();
        if (!stage.compareAndSet(Stage.WAITING, Stage.SENDING)) {
            throw new IOException("push given up");
        }
        BasicHttpRequest request = new BasicHttpRequest(exchange.method, exchange.target);
        request.addHeader("Host", connection.address.getHostString());
        request.addHeader(ClientExchange.TRACE_ID_HEADER, exchange.traceId);
        long left = Math.max(1, deadlineTicks - clock.now());
        request.addHeader(
                ClientExchange.TTL_HEADER, left * (1000 / TickClock.TICKS_PER_MILLI) + "u");
        if (exchange.idempotencyKey != null) {
            request.addHeader(ClientExchange.IDEMPOTENCY_KEY_HEADER, exchange.idempotencyKey);
        }
        if (exchange.requestPipe != null) {
            // Guards against two pushes that share out one body between them.
            if (!exchange.requestPipe.tryClaim()) {
                completeOnce(AttemptOutcome.NOT_SENT, null);
                throw new IOException("the body is on its way elsewhere");
            }
            eventQueue.post(new ProxyEvent.RequestBodyClaimed(this));
        }
        MessageBody rest =
                exchange.requestPipe != null
                        ? exchange.requestPipe
                        : new ByteArrayBody(requestBody);
        setBody(rest);
        EntityDetails entity = rest.entityDetails();
        channel.sendRequest(request, entity, context);
        // Guards against a push with a body counted twice: by now its body may have been written.
        if (entity == null) {
            requestWritten();
        }
    }

    /**
     * Guards against a last byte that leaves late: a node begins with it, however early the first
     * one left.
     */
    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (!isWritten()) {
            throwIfRejected(sendPermit.rejectionOfLastByte(clock.now()));
        }
        super.produce(out);
    }

    /** Ends as never sent, which is proven: its last byte has not left, and the connection ends. */
    private void throwIfRejected(AttemptRejection why) throws IOException {
        if (why != null) {
            if (isOpen()) {
                metrics.attemptRejected(why);
            }
            completeOnce(AttemptOutcome.NOT_SENT, null);
            throw new IOException("attempt refused, " + why);
        }
    }

    @Override
    void requestWritten() {
        writtenAtTicks = clock.now();
        metrics.attemptSent();
    }

    /** The whole request has gone out, so that the connection can carry another. */
    boolean isWritten() {
        return writtenAtTicks > 0;
    }

    /**
     * How long the node took; what passes through counts from its last byte written or to its first
     * read.
     */
    long durationTicks(long ended) {
        long from =
                exchange.requestPipe == null
                        ? startedAtTicks
                        : writtenAtTicks > 0 ? writtenAtTicks : ended;
        return Math.max(0, (responsePipe == null ? ended : headReceivedAtTicks) - from);
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        statusCode = response.getCode();
        Header proof = response.getFirstHeader("X-Never-Ran");
        neverRan = proof != null && proof.getValue().equals("1");
        Header store = response.getFirstHeader("X-Store");
        storeNote =
                store == null
                        ? 0
                        : switch (store.getValue()) {
                            case "hit" -> 1;
                            case "miss" -> 2;
                            case "pending" -> 3;
                            default -> 0;
                        };
        bufferedResponse = new BufferedBody(entity);
        headReceivedAtTicks = clock.now();
        if (entity == null) {
            streamEnd(List.of());
        } else if (statusCode == OK && entity.getContentLength() > BufferedBody.MAX_BYTES) {
            startStreaming(entity.getContentLength());
        }
        lengthUnknown = entity != null && entity.isChunked();
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        receivedBytes += src.remaining();
        if (receivedBytes > MessageFraming.MAX_BODY_BYTES) {
            throw new IOException("answer is too long");
        } else if (statusCode != OK) {
            src.position(src.limit()); // What says no more than its status is not kept.
            return;
        }
        boolean late = lengthUnknown && clock.now() - headReceivedAtTicks >= STREAM_AFTER_TICKS;
        if (responsePipe == null && (late || !bufferedResponse.tryAppend(src))) {
            startStreaming(-1);
        }
        if (responsePipe != null) {
            responsePipe.append(src);
        }
    }

    /** From now on the answer passes through, with what has been gathered of it ahead. */
    private void startStreaming(long length) {
        responsePipe = exchange.createPipe(length);
        responsePipe.append(ByteBuffer.wrap(bufferedResponse.toByteArray()));
        eventQueue.post(new ProxyEvent.ResponseStreamStarted(this, responsePipe));
    }

    @Override
    long streamedBytesIfReadable() {
        return responsePipe != null && isOpen() && !responsePipe.isBackpressured()
                ? receivedBytes
                : -1;
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (responsePipe == null) {
            super.updateCapacity(capacity);
        } else {
            responsePipe.requestCapacity(capacity);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        completeResponse();
        switch (statusCode) {
            case OK -> {
                if (responsePipe != null) {
                    responsePipe.finish();
                }
                completeOnce(
                        AttemptOutcome.SUCCESS,
                        responsePipe == null ? bufferedResponse.toByteArray() : null);
            }
            case 404 -> completeOnce(AttemptOutcome.CACHE_MISS, null);
            default ->
                    completeOnce(
                            neverRan && (statusCode == 503 || statusCode == 504)
                                    ? AttemptOutcome.OVERLOADED
                                    : AttemptOutcome.ERROR,
                            null);
        }
    }

    @Override
    public void failed(Exception cause) {
        if (responsePipe != null && isOpen()) {
            LOG.info("an answer that passed through broke off at the node: " + cause);
        }
        // Guards against a kept connection that the node has closed: not a byte of the push has
        // gone out.
        if (connection.reused && isWaiting()) {
            eventQueue.post(new ProxyEvent.PooledConnectionFailed(this));
            return;
        }
        Stage before = stage.getAndSet(Stage.ENDED);
        if (before != Stage.ENDED) {
            postCompleted(
                    before == Stage.WAITING
                            ? AttemptOutcome.CONNECT_FAILED
                            : AttemptOutcome.CONNECTION_LOST,
                    null);
        }
    }
}
