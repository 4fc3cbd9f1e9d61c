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
abstract class Get extends Call {
    private static final int MOST_LINE = 8 << 20;
    private final String host;
    private final String target;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream(256);
    private boolean over;
    private boolean sent;
    private byte[] value;

    Get(InetSocketAddress address, String target) {
        this.host = address.getHostString() + ":" + address.getPort();
        this.target = target;
    }

    /** It is to write a value instead of reading one. */
    void writes(byte[] bytes) {
        value = bytes;
    }

    /** Adds what further headers the request needs. */
    void dress(BasicHttpRequest request) {
        // Host is enough for most.
    }

    abstract void begun(int code);

    abstract void line(String text);

    /**
     * Once: ACKED where the answer came to its end, whatever its status, else how the connection
     * failed.
     */
    abstract void over(AttemptOutcome how);

    private void end(AttemptOutcome how) {
        if (!over) {
            over = true;
            over(how);
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context)
            throws HttpException, IOException {
        sent = true;
        begins();
        BasicHttpRequest request = new BasicHttpRequest(value == null ? "GET" : "PUT", target);
        request.addHeader("Host", host);
        dress(request);
        RemainingBytes rest = new RemainingBytes(value);
        body(rest);
        channel.sendRequest(request, rest.entity(), context);
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
        begun(response.getCode());
        if (entity == null) {
            answered();
            end(AttemptOutcome.SUCCESS);
        }
    }

    @Override
    public void consume(ByteBuffer src) throws IOException {
        while (src.hasRemaining()) {
            byte b = src.get();
            if (b == '\n') {
                flush();
            } else if (line.size() < MOST_LINE) {
                line.write(b);
            } else {
                throw new IOException("line is too long");
            }
        }
    }

    private void flush() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        line(text);
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (line.size() > 0) {
            flush();
        }
        answered();
        end(AttemptOutcome.SUCCESS);
    }

    @Override
    public void failed(Exception cause) {
        AttemptOutcome late =
                cause instanceof SocketTimeoutException
                        ? AttemptOutcome.TIMED_OUT
                        : AttemptOutcome.CONNECTION_LOST;
        end(sent ? late : AttemptOutcome.CONNECT_FAILED);
    }
}
