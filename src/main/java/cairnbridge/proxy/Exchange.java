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
final class Exchange implements AsyncServerExchangeHandler {
    static final String ID = "X-Trace-Id";
    static final String TTL = "X-Expires-In";
    static final String MARK = "Idempotency-Key";
    private static final String REPEAT = "X-Second-Try";
    private static final int OK = 200;
    private static final int MALFORMED = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int DEAD_LETTER = 502;
    private static final int NACK = 503;

    private static final Logger LOG = Logger.getLogger(Exchange.class.getName());
    private final Listen listen;
    private final Inbox inbox;
    private final Consumer<Exchange> released;
    private final Runnable cut;

    /**
     * over: its answer has begun; finished: the answer's last byte is handed over, or the client is
     * gone.
     */
    private final AtomicBoolean over = new AtomicBoolean();

    /** That of all attempts for it. */
    final Permission permission = new Permission();

    private volatile boolean taken;
    private volatile boolean told;
    private volatile boolean gone;
    private volatile boolean last;
    private volatile boolean counted;
    private volatile boolean rehearsed;
    private volatile boolean finished;
    private volatile boolean streaming;
    private volatile long came;
    private volatile ProxyMetrics.RequestOutcome end;
    private ResponseChannel channel;
    private HttpContext context;
    private Gathered body;
    private long length;
    private long ttl;
    private Body rest = new RemainingBytes(null);

    /** A body that passes through; null for one that was gathered whole, as value. */
    volatile Pipe pipe;

    String method;
    String target;
    String trace;
    String mark;
    CategoryId category;
    KeyId key;
    boolean write;
    boolean repeat;
    byte[] value;

    /** Set by the owner thread. */
    RequestId op;

    /** released is told when the library is done with it; cut ends the connection at once. */
    Exchange(Listen listen, Inbox inbox, Consumer<Exchange> released, Runnable cut) {
        this.cut = cut;
        this.listen = listen;
        this.inbox = inbox;
        this.released = released;
    }

    /** The request has been read to its last byte and goes its way. */
    boolean isTaken() {
        return taken;
    }

    boolean isOver() {
        return finished;
    }

    /** The client has left before its answer. */
    boolean hasGone() {
        return gone;
    }

    /**
     * Guards against a next request refused because it came before this thread knew that it may.
     */
    boolean isAnswered() {
        return finished
                || over.get() && (!streaming || rest instanceof Pipe answer && answer.isLastOut());
    }

    /** Bytes of its body that have come. */
    long came() {
        return came;
    }

    /**
     * The client is waited for no longer than this: its body stands still because the proxy takes
     * none.
     */
    boolean isHeldBack() {
        Pipe body = pipe;
        return body != null && body.isHeldBack();
    }

    /** How much has come of a body that passes through and may come faster; else under 0. */
    long hungry() {
        Pipe body = pipe;
        return body != null && !taken && !body.isHeldBack() ? came : -1;
    }

    /** What passes through, either way, stands still. */
    boolean isStill(long now) {
        Pipe body = pipe;
        if (streaming && !finished && rest instanceof Pipe answer) {
            return answer.isStill(now);
        }
        return body != null && !taken && body.isStill(now);
    }

    Pipe newPipe(long length) {
        return new Pipe(listen.piped, length);
    }

    /** The connection ends with this one's answer. */
    boolean isLast() {
        return last;
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
        target = Listen.path(request.getRequestUri());
        if (target.startsWith("/-/")) {
            boolean known = target.equals("/-/ready");
            send(!known ? NOT_FOUND : listen.isReady() ? OK : NACK, new byte[0], 0, entity != null);
            return;
        }
        String fault = read(request);
        if (fault != null) {
            send(MALFORMED, fault.getBytes(StandardCharsets.US_ASCII), 0, true);
        } else if (entity == null) {
            take();
        } else {
            body = new Gathered(entity);
            length = entity.getContentLength();
            if (request.containsHeader("Expect")) {
                channel.sendInformation(new BasicHttpResponse(100), context);
            }
        }
    }

    /**
     * Takes out the fields that decisions need; the rest goes on as it came. Returns what is
     * malformed.
     */
    private String read(HttpRequest request) {
        trace = header(request, ID);
        if (trace == null || trace.isEmpty()) {
            return ID + " is missing";
        }
        ttl = Listen.ttl(header(request, TTL));
        if (ttl <= 0) {
            return TTL + " is missing or no span";
        }
        write = method.equals("PUT");
        if (!write && !method.equals("GET")) {
            return "method is neither GET nor PUT";
        }
        int query = target.indexOf('?');
        String path = query < 0 ? target : target.substring(0, query);
        int slash = path.indexOf('/', 1);
        String first = path.isEmpty() ? "" : path.substring(1, slash < 0 ? path.length() : slash);
        Integer number = path.startsWith("/") ? listen.category(first) : null;
        if (number == null) {
            return "unknown category";
        }
        category = new CategoryId(number);
        String last = slash < 0 ? "" : path.substring(path.lastIndexOf('/') + 1);
        key = last.isEmpty() ? null : new KeyId(Fnv1a.hash(last));
        repeat = "1".equals(header(request, REPEAT));
        mark = header(request, MARK);
        return null;
    }

    private static String header(HttpRequest request, String name) {
        Header header = request.getFirstHeader(name);
        return header == null ? null : header.getValue();
    }

    private void take() {
        value = body == null ? null : body.all();
        body = null;
        taken = true;
        // Guards against an op dead on arrival: a client may take a second for its body; its TTL
        // runs then.
        long expires = listen.expires(listen.clock.now(), ttl);
        Warm warm = listen.warm;
        if (warm != null && warm.owns(trace)) {
            rehearsed = true;
            warm.take(this, expires);
        } else {
            tell(expires);
            begun();
        }
    }

    private void tell(long latest) {
        told = true;
        inbox.post(new Notice.Arrived(this, latest));
    }

    /**
     * The body is too long to be gathered: the op is placed now, and its TTL runs from the last
     * byte.
     */
    private void pass(ByteBuffer src) {
        Pipe through = newPipe(length);
        through.give(ByteBuffer.wrap(body.all()));
        through.give(src);
        body = null;
        pipe = through;
        tell(
                listen.expiresLong(
                        listen.clock.now(), ttl, (length < 0 ? Framing.LONGEST : length) - came));
    }

    private void begun() {
        if (!counted) {
            counted = true;
            listen.figures.requestAccepted();
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
        if (rehearsed || !told) {
            return;
        }
        begun();
        if (end == null) {
            listen.figures.clientLeft();
        } else {
            listen.figures.requestEnded(category.value(), end);
        }
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        came += src.remaining();
        if (came > Framing.LONGEST) {
            cut.run();
        } else if (pipe != null) {
            pipe.give(src);
        } else if (body != null && !over.get() && !body.add(src)) {
            pass(src);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (pipe != null) {
            taken = true;
            if (!finished) {
                begun();
            }
            pipe.end();
            inbox.post(new Notice.BodyEnded(this, listen.expires(listen.clock.now(), ttl)));
        } else if (body != null && !over.get()) {
            take();
        }
    }

    /** The id is that of an op that is open. */
    void refuse() {
        send(CONFLICT, new byte[0], 0, true);
    }

    /** As a cache would say it: only the rehearsal has this proxy in a cache's place. */
    void miss() {
        send(NOT_FOUND, new byte[0], 0, false);
    }

    /** The cache's answer passes through from now on, byte for byte. */
    void stream(Pipe answer) {
        streaming = true;
        if (!respond(OK, answer, 0, false)) {
            answer.drop();
        }
    }

    /** The cache's answer, byte for byte. */
    void ack(byte[] bytes) {
        send(OK, bytes, 0, false);
    }

    void nack(long retryAfter) {
        send(NACK, new byte[0], retryAfter, false);
    }

    void deadLetter() {
        send(DEAD_LETTER, new byte[0], 0, false);
    }

    private void send(int code, byte[] bytes, long retryAfter, boolean close) {
        if (streaming) {
            // Guards against an answer that broke off and seems whole: its connection ends before
            // it does.
            end = ProxyMetrics.RequestOutcome.FAILURE;
            finish();
            cut.run();
            return;
        }
        respond(code, new RemainingBytes(bytes), retryAfter, close);
        if (pipe != null) {
            pipe.drop(); // What is still to come of the op's body goes nowhere.
        }
    }

    /** False where the client has been answered, or has left. */
    private boolean respond(int code, Body bytes, long retryAfter, boolean close) {
        if (!over.compareAndSet(false, true)) {
            return false;
        }
        permission.revoke(AttemptRejection.OP_OVER);
        HttpResponse response = new BasicHttpResponse(code);
        if (retryAfter > 0) {
            // Without a formatter: nacks come by hundreds just when time is short.
            String fraction = Long.toString(Clock.SECOND + retryAfter % Clock.SECOND).substring(1);
            response.addHeader("Retry-After", retryAfter / Clock.SECOND + "." + fraction);
        }
        if (close || listen.closes() || pipe != null && !taken) {
            last = true;
            response.addHeader("Connection", "close");
        }
        rest = bytes;
        end =
                switch (code) {
                    case OK -> ProxyMetrics.RequestOutcome.SUCCESS;
                    case NACK -> ProxyMetrics.RequestOutcome.BUSY;
                    case DEAD_LETTER -> ProxyMetrics.RequestOutcome.FAILURE;
                    default -> null; // Not an op of its client's.
                };
        try {
            EntityDetails entity = bytes.entity();
            channel.sendResponse(response, entity, context);
            if (entity == null) {
                finish();
            }
        } catch (HttpException | IOException e) {
            // The client's connection broke under the answer: nothing is owed to it any more.
            gone = true;
            channel.terminateExchange();
            finish();
        }
        return true;
    }

    @Override
    public int available() {
        return rest.left();
    }

    @Override
    public void produce(DataStreamChannel out) throws IOException {
        if (rest.write(out)) {
            finish();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel capacity) throws IOException {
        if (pipe != null) {
            pipe.ask(capacity);
        } else {
            capacity.update(Gathered.MOST);
        }
    }

    @Override
    public void failed(Exception cause) {
        // Guards against an attempt that begins while the owner has not yet heard that its client
        // has gone.
        permission.revoke(AttemptRejection.CLIENT_GONE);
        gone = true;
        boolean unanswered = over.compareAndSet(false, true);
        if (streaming && !finished) {
            LOG.info("an answer that passed through broke off at the client: " + cause);
        }
        if (told && (unanswered || streaming && !finished)) {
            end = null;
            inbox.post(new Notice.Left(this));
        }
        for (Body each : new Body[] {pipe, rest}) {
            if (each instanceof Pipe passing) {
                passing.drop();
            }
        }
        finish();
    }

    @Override
    public void releaseResources() {
        body = null;
        released.accept(this);
    }
}
