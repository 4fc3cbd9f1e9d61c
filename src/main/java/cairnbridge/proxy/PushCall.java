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
final class PushCall extends Call {
    private static final Logger LOG = Logger.getLogger(PushCall.class.getName());
    private static final int OK = 200;

    /**
     * Guards against an answer of unknown length held back from its client while it comes in
     * pieces.
     */
    private static final long SOON = 100 * Clock.MILLI;

    /** HANDED: bytes may have gone out, so that from then on the op may have run. */
    private enum Stage {
        WAITING,
        HANDED,
        ENDED
    }

    final Exchange client;
    final NodeId node;
    final int number;
    final long sent;
    final Permission permission;
    private final byte[] value;
    private final long expires;
    private final Inbox inbox;
    private final Clock clock;
    private final ProxyMetrics figures;
    private final AtomicReference<Stage> stage = new AtomicReference<>(Stage.WAITING);
    private int code;
    private int note;
    private boolean neverRan;
    private Gathered answer;

    /** The answer passes through; null while it is gathered. */
    private Pipe stream;

    private boolean untold;
    private boolean abandoned;
    private long headAt;
    private long came;
    private volatile long writtenAt;

    /** latestBegin: its last byte leaves before that, or not at all. */
    PushCall(
            Exchange client,
            NodeId node,
            int number,
            long expires,
            long latestBegin,
            Inbox inbox,
            Clock clock,
            ProxyMetrics figures) {
        this.figures = figures;
        this.client = client;
        this.value = client.value;
        this.node = node;
        this.number = number;
        this.expires = expires;
        this.inbox = inbox;
        this.clock = clock;
        sent = clock.now();
        permission = client.permission.attempt(latestBegin);
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

    private void end(AttemptOutcome ending, byte[] body) {
        if (stage.getAndSet(Stage.ENDED) != Stage.ENDED) {
            over(ending, body);
        }
    }

    private void over(AttemptOutcome ending, byte[] body) {
        inbox.post(new Notice.PushOver(this, ending, note, body, clock.now()));
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        if (!isWaiting()) {
            throw new IOException("push given up");
        }
        refuse(permission.refusal(clock.now()));
        begins();
        if (!stage.compareAndSet(Stage.WAITING, Stage.HANDED)) {
            throw new IOException("push given up");
        }
        BasicHttpRequest request = new BasicHttpRequest(client.method, client.target);
        request.addHeader("Host", connection.address.getHostString());
        request.addHeader(Exchange.ID, client.trace);
        long left = Math.max(1, expires - clock.now());
        request.addHeader(Exchange.TTL, left * (1000 / Clock.MILLI) + "u");
        if (client.mark != null) {
            request.addHeader(Exchange.MARK, client.mark);
        }
        if (client.pipe != null) {
            // Guards against two pushes that share out one body between them.
            if (!client.pipe.claim()) {
                end(AttemptOutcome.NOT_SENT, null);
                throw new IOException("the body is on its way elsewhere");
            }
            inbox.post(new Notice.Spent(this));
        }
        Body rest = client.pipe != null ? client.pipe : new RemainingBytes(value);
        body(rest);
        EntityDetails entity = rest.entity();
        channel.sendRequest(request, entity, context);
        // Guards against a push with a body counted twice: by now its body may have been written.
        if (entity == null) {
            written();
        }
    }

    /**
     * Guards against a last byte that leaves late: a node begins with it, however early the first
     * one left.
     */
    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (!isWritten()) {
            refuse(permission.refusalOfRest(clock.now()));
        }
        super.produce(out);
    }

    /** Ends as never sent, which is proven: its last byte has not left, and the connection ends. */
    private void refuse(AttemptRejection why) throws IOException {
        if (why != null) {
            if (isOpen()) {
                figures.attemptRejected(why);
            }
            end(AttemptOutcome.NOT_SENT, null);
            throw new IOException("attempt refused, " + why);
        }
    }

    @Override
    void written() {
        writtenAt = clock.now();
        figures.attemptSent();
    }

    /** The whole request has gone out, so that the connection can carry another. */
    boolean isWritten() {
        return writtenAt > 0;
    }

    /**
     * How long the node took; what passes through counts from its last byte written or to its first
     * read.
     */
    long took(long ended) {
        long from = client.pipe == null ? sent : writtenAt > 0 ? writtenAt : ended;
        return Math.max(0, (stream == null ? ended : headAt) - from);
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        code = response.getCode();
        Header proof = response.getFirstHeader("X-Never-Ran");
        neverRan = proof != null && proof.getValue().equals("1");
        Header store = response.getFirstHeader("X-Store");
        note =
                store == null
                        ? 0
                        : switch (store.getValue()) {
                            case "hit" -> 1;
                            case "miss" -> 2;
                            case "pending" -> 3;
                            default -> 0;
                        };
        answer = new Gathered(entity);
        headAt = clock.now();
        if (entity == null) {
            streamEnd(List.of());
        } else if (code == OK && entity.getContentLength() > Gathered.MOST) {
            stream(entity.getContentLength());
        }
        untold = entity != null && entity.isChunked();
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        came += src.remaining();
        if (came > Framing.LONGEST) {
            throw new IOException("answer is too long");
        } else if (code != OK) {
            src.position(src.limit()); // What says no more than its status is not kept.
            return;
        }
        boolean late = untold && clock.now() - headAt >= SOON;
        if (stream == null && (late || !answer.add(src))) {
            stream(-1);
        }
        if (stream != null) {
            stream.give(src);
        }
    }

    /** From now on the answer passes through, with what has been gathered of it ahead. */
    private void stream(long length) {
        stream = client.newPipe(length);
        stream.give(ByteBuffer.wrap(answer.all()));
        inbox.post(new Notice.Streams(this, stream));
    }

    @Override
    long hungry() {
        return stream != null && isOpen() && !stream.isHeldBack() ? came : -1;
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (stream == null) {
            super.updateCapacity(capacity);
        } else {
            stream.ask(capacity);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        answered();
        switch (code) {
            case OK -> {
                if (stream != null) {
                    stream.end();
                }
                end(AttemptOutcome.SUCCESS, stream == null ? answer.all() : null);
            }
            case 404 -> end(AttemptOutcome.CACHE_MISS, null);
            default ->
                    end(
                            neverRan && (code == 503 || code == 504)
                                    ? AttemptOutcome.OVERLOADED
                                    : AttemptOutcome.ERROR,
                            null);
        }
    }

    @Override
    public void failed(Exception cause) {
        if (stream != null && isOpen()) {
            LOG.info("an answer that passed through broke off at the node: " + cause);
        }
        // Guards against a kept connection that the node has closed: not a byte of the push has
        // gone out.
        if (connection.used && isWaiting()) {
            inbox.post(new Notice.Unsent(this));
            return;
        }
        Stage before = stage.getAndSet(Stage.ENDED);
        if (before != Stage.ENDED) {
            over(
                    before == Stage.WAITING
                            ? AttemptOutcome.CONNECT_FAILED
                            : AttemptOutcome.CONNECTION_LOST,
                    null);
        }
    }
}
