package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * A request that the proxy itself originates: to discovery, as a health check or for the warm-up.
 * It is a GET request unless a body to PUT is set.
 */
abstract class InternalRequest extends UpstreamExchange {
    private final String host;
    private final String target;
    private boolean finished;
    private boolean requestStarted;
    private byte[] putBody;

    InternalRequest(InetSocketAddress address, String target) {
        this.host = address.getHostString() + ":" + address.getPort();
        this.target = target;
    }

    /** Makes this a PUT request with the given body. */
    void setPutBody(byte[] bytes) {
        putBody = bytes;
    }

    /** Adds the headers that the request needs besides Host. */
    void addHeaders(BasicHttpRequest request) {
        // Most requests need no header besides Host.
    }

    /** Called with the status code once the head of the response has been read. */
    abstract void onStatus(int code);

    /**
     * Called with each part of the response body; discards it unless a subclass needs it.
     *
     * @throws IOException if the response is of no use, which closes the connection
     */
    void onBody(ByteBuffer source) throws IOException {
        source.position(source.limit());
    }

    /** Called after the last part of the response body. */
    void onBodyEnd() {
        // Most requests do not need the body.
    }

    /**
     * Called once: with SUCCESS if the response was read completely, whatever its status; otherwise
     * with the outcome that tells how the connection failed.
     */
    abstract void onEnd(AttemptOutcome outcome);

    private void finishOnce(AttemptOutcome outcome) {
        if (!finished) {
            finished = true;
            onEnd(outcome);
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        requestStarted = true;
        startRequest();
        BasicHttpRequest request = new BasicHttpRequest(putBody == null ? "GET" : "PUT", target);
        request.addHeader("Host", host);
        addHeaders(request);
        ByteArrayBody body = new ByteArrayBody(putBody);
        setBody(body);
        channel.sendRequest(request, body.entityDetails(), context);
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        onStatus(response.getCode());
        if (entity == null) {
            completeResponse();
            finishOnce(AttemptOutcome.SUCCESS);
        }
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        onBody(src);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        onBodyEnd();
        completeResponse();
        finishOnce(AttemptOutcome.SUCCESS);
    }

    @Override
    public void failed(Exception cause) {
        AttemptOutcome outcomeAfterStart =
                cause instanceof SocketTimeoutException
                        ? AttemptOutcome.TIMED_OUT
                        : AttemptOutcome.CONNECTION_LOST;
        finishOnce(requestStarted ? outcomeAfterStart : AttemptOutcome.CONNECT_FAILED);
    }
}
