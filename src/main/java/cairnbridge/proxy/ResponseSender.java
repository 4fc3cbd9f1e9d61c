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
 * The response to a client request: its head, its body and the outcome that the metrics count. The
 * reactor's thread opens it and writes the body; the first thread that calls {@link #tryStart}
 * starts it. Any thread may query its state.
 */
final class ResponseSender {
    private ResponseChannel channel;
    private HttpContext context;
    private final AtomicBoolean started = new AtomicBoolean();
    private volatile boolean lastOnConnection;
    private volatile boolean streaming;

    /** Null while there is no response, and for a response that is not counted as an outcome. */
    private volatile RequestOutcome outcome;

    private MessageBody responseBody = new ByteArrayBody(new byte[0]);

    /** Sets the channel for the response, once the head of the request has been received. */
    void open(ResponseChannel responseChannel, HttpContext httpContext) {
        channel = responseChannel;
        context = httpContext;
    }

    /** Sends 100 Continue, which tells the client to send the body that it announced. */
    void sendContinue() throws HttpException, IOException {
        channel.sendInformation(new BasicHttpResponse(HttpStatus.SC_CONTINUE), context);
    }

    /** True for the first caller only, which sends the response or handles the disconnect. */
    boolean tryStart() {
        return started.compareAndSet(false, true);
    }

    boolean isStarted() {
        return started.get();
    }

    /** Marks the response as streamed. */
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
     * Sends the head of the response; the body is written as the connection accepts it.
     *
     * @param retryAfterTicks the delay in the Retry-After header, in ticks; 0 for no header
     * @param last whether the connection is closed after this response
     * @return true if the response has no body and is therefore complete
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

    /** Terminates the exchange after its connection has failed. */
    void terminate() {
        channel.terminateExchange();
    }

    /** Counts the response as a failure because it is truncated. */
    void markFailed() {
        outcome = RequestOutcome.FAILURE;
    }

    /** Clears the outcome because the client has disconnected before it had its whole response. */
    void clearOutcome() {
        outcome = null;
    }

    /** Reports the outcome of a finished request to the metrics. */
    void countOutcome(ProxyMetrics metrics, CategoryId category) {
        RequestOutcome counted = outcome;
        if (counted == null) {
            metrics.requestCancelled();
        } else {
            metrics.requestEnded(category.value(), counted);
        }
    }

    int availableBytes() {
        return responseBody.availableBytes();
    }

    /** Writes as much as the connection accepts; true, once, when the last byte is written. */
    boolean writeTo(DataStreamChannel out) throws IOException {
        return responseBody.writeTo(out);
    }

    /** Discards the unwritten rest of a streamed response. */
    void discardStream() {
        if (responseBody instanceof BodyPipe pipe) {
            pipe.discard();
        }
    }

    /** Whether the last chunk of a streamed response is being written. */
    boolean isWritingLastChunk() {
        return responseBody instanceof BodyPipe pipe && pipe.isWritingLastChunk();
    }

    /** Whether the response has begun and its body is a pipe. */
    boolean hasStreamedBody() {
        return streaming && responseBody instanceof BodyPipe;
    }

    /** Whether a streamed response has made no progress for too long. */
    boolean isStalled(long nowNanos) {
        return responseBody instanceof BodyPipe pipe && pipe.isStalled(nowNanos);
    }

    /** The outcome that a status is counted as; null for statuses that are not counted. */
    private static RequestOutcome outcomeOf(int status) {
        return switch (status) {
            case HttpStatus.SC_OK -> RequestOutcome.SUCCESS;
            case HttpStatus.SC_SERVICE_UNAVAILABLE -> RequestOutcome.BUSY;
            case HttpStatus.SC_BAD_GATEWAY -> RequestOutcome.FAILURE;
            default -> null;
        };
    }

    /**
     * Formats ticks as seconds without a formatter, to save time: hundreds of rejections are sent
     * when the proxy is overloaded.
     */
    private static String formatSeconds(long ticks) {
        String fraction = Long.toString(Ticks.SECOND + ticks % Ticks.SECOND).substring(1);
        return Ticks.toSeconds(ticks) + "." + fraction;
    }
}
