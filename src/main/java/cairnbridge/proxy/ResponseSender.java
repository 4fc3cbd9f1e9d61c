package cairnbridge.proxy;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.RequestOutcome;
import cairnbridge.decision.Ids.CategoryId;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * The one answer to a client request: its head, its body and the outcome that it counts as. Opened
 * by the reactor thread, started by whoever calls {@link #tryStart} first, and written by the
 * reactor thread. Any thread may ask for its state.
 */
final class ResponseSender {
    private ResponseChannel channel;
    private HttpContext context;
    private final AtomicBoolean answerStarted = new AtomicBoolean();
    private volatile boolean lastOnConnection;
    private volatile boolean streaming;

    /** Null while there is none, and for an answer that is no outcome of a client's request. */
    private volatile RequestOutcome outcome;

    private MessageBody responseBody = new ByteArrayBody(new byte[0]);

    /** The request's head has been received: this is where its answer goes. */
    void open(ResponseChannel responseChannel, HttpContext httpContext) {
        channel = responseChannel;
        context = httpContext;
    }

    /** Asks the client for the body that it announced. */
    void sendContinue() throws HttpException, IOException {
        channel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), context);
    }

    /** True for the first caller, who answers or has found the client disconnected. */
    boolean tryStart() {
        return answerStarted.compareAndSet(false, true);
    }

    boolean isStarted() {
        return answerStarted.get();
    }

    /** The answer is going to be streamed. */
    void markStreaming() {
        streaming = true;
    }

    boolean isStreaming() {
        return streaming;
    }

    boolean isLastOnConnection() {
        return lastOnConnection;
    }

    /**
     * Sends the head of the answer; the body follows as the connection takes it.
     *
     * @param retryAfterTicks what the client is advised to wait; 0 for no advice
     * @param last whether the connection ends with this answer
     * @return true if the answer has no body, and is thereby complete
     */
    boolean send(int status, MessageBody body, long retryAfterTicks, boolean last)
            throws HttpException, IOException {
        HttpResponse response = new BasicHttpResponse(status);
        if (retryAfterTicks > 0) {
            response.addHeader("Retry-After", formatSeconds(retryAfterTicks));
        }
        if (last) {
            lastOnConnection = true;
            response.addHeader("Connection", "close");
        }
        responseBody = body;
        outcome = outcomeOf(status);
        EntityDetails entity = body.entityDetails();
        channel.sendResponse(response, entity, context);
        return entity == null;
    }

    /** Ends an exchange whose connection is broken. */
    void terminate() {
        channel.terminateExchange();
    }

    /** The answer breaks off, which counts as a failure. */
    void markFailed() {
        outcome = RequestOutcome.FAILURE;
    }

    /** The client has disconnected before it had its answer. */
    void clearOutcome() {
        outcome = null;
    }

    /** Counts the outcome of a request that has ended. */
    void countOutcome(ProxyMetrics metrics, CategoryId category) {
        RequestOutcome counted = outcome;
        if (counted == null) {
            metrics.clientLeft();
        } else {
            metrics.requestEnded(category.value(), counted);
        }
    }

    int availableBytes() {
        return responseBody.availableBytes();
    }

    /** Writes what the connection takes; true, once, with the last byte. */
    boolean writeTo(DataStreamChannel out) throws IOException {
        return responseBody.writeTo(out);
    }

    /** What is yet to come of a streamed answer is discarded. */
    void discardStream() {
        if (responseBody instanceof BodyPipe pipe) {
            pipe.discard();
        }
    }

    /** Whether all but what is being written of a streamed answer has been written. */
    boolean isLastChunkInWriting() {
        return responseBody instanceof BodyPipe pipe && pipe.isLastChunkInWriting();
    }

    /** Whether the body of the answer is a pipe. */
    boolean hasStreamedBody() {
        return streaming && responseBody instanceof BodyPipe;
    }

    /** Whether a streamed answer stands still for too long. */
    boolean isStalled(long nowNanos) {
        return responseBody instanceof BodyPipe pipe && pipe.isStalled(nowNanos);
    }

    /** The outcome that a status counts as; null for an answer to no request of a client's. */
    private static RequestOutcome outcomeOf(int status) {
        return switch (status) {
            case HttpStatus.SC_OK -> RequestOutcome.SUCCESS;
            case HttpStatus.SC_SERVICE_UNAVAILABLE -> RequestOutcome.BUSY;
            case HttpStatus.SC_BAD_GATEWAY -> RequestOutcome.FAILURE;
            default -> null;
        };
    }

    /** Without a formatter: rejections come by hundreds just when time is short. */
    private static String formatSeconds(long ticks) {
        String fraction = Long.toString(Ticks.SECOND + ticks % Ticks.SECOND).substring(1);
        return Ticks.toSeconds(ticks) + "." + fraction;
    }
}
