package cairnbridge.proxy;

import cairnbridge.decision.Event.AttemptOutcome;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/** A request of the proxy's own, to discovery or as a probe; its answer comes line by line. */
abstract class HttpGet extends UpstreamExchange {
    private static final int MAX_LINE_BYTES = 8 << 20;
    private final String host;
    private final String target;
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream(256);
    private boolean finished;
    private boolean requestStarted;
    private byte[] putBody;

    HttpGet(InetSocketAddress address, String target) {
        this.host = address.getHostString() + ":" + address.getPort();
        this.target = target;
    }

    /** It is to write a value instead of reading one. */
    void setPutBody(byte[] bytes) {
        putBody = bytes;
    }

    /** Adds what further headers the request needs. */
    void addHeaders(BasicHttpRequest request) {
        // Host is enough for most.
    }

    abstract void onStatus(int code);

    abstract void onLine(String text);

    /**
     * Once: ACKED where the answer came to its end, whatever its status, else how the connection
     * failed.
     */
    abstract void onEnd(AttemptOutcome how);

    private void finishOnce(AttemptOutcome how) {
        if (!finished) {
            finished = true;
            onEnd(how);
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
        ByteArrayBody rest = new ByteArrayBody(putBody);
        setBody(rest);
        channel.sendRequest(request, rest.entityDetails(), context);
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
        while (src.hasRemaining()) {
            byte b = src.get();
            if (b == '\n') {
                emitLine();
            } else if (lineBuffer.size() < MAX_LINE_BYTES) {
                lineBuffer.write(b);
            } else {
                throw new IOException("line is too long");
            }
        }
    }

    private void emitLine() {
        String text = lineBuffer.toString(StandardCharsets.UTF_8);
        lineBuffer.reset();
        onLine(text);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (lineBuffer.size() > 0) {
            emitLine();
        }
        completeResponse();
        finishOnce(AttemptOutcome.SUCCESS);
    }

    @Override
    public void failed(Exception cause) {
        AttemptOutcome late =
                cause instanceof SocketTimeoutException
                        ? AttemptOutcome.TIMED_OUT
                        : AttemptOutcome.CONNECTION_LOST;
        finishOnce(requestStarted ? late : AttemptOutcome.CONNECT_FAILED);
    }
}
