package cairnbridge.scale.datapath;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client's connection to the proxy, kept open between requests. */
final class ClientConnection implements AutoCloseable {
    private static final int WITHIN_MILLIS = 10_000;

    /** What came back for one request. */
    record Answer(int status, int bodyBytes, boolean closes) {}

    private final Socket socket = new Socket();
    private final BufferedInputStream in;
    private final InetSocketAddress proxy;

    ClientConnection(InetSocketAddress proxy) throws IOException {
        this.proxy = proxy;
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(WITHIN_MILLIS);
        socket.connect(proxy, WITHIN_MILLIS);
        in = new BufferedInputStream(socket.getInputStream());
    }

    InetSocketAddress proxy() {
        return proxy;
    }

    /** An IOException where no answer comes in time. */
    Answer get(long key, long trace, long ttlMillis) throws IOException {
        String request =
                "GET /view/"
                        + Long.toHexString(key)
                        + " HTTP/1.1\r\nHost: proxy\r\nX-Trace-Id: "
                        + Long.toHexString(trace)
                        + "\r\nX-Expires-In: "
                        + ttlMillis
                        + "m\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        HttpHead head =
                HttpHead.read(in).orElseThrow(() -> new EOFException("the proxy closed it"));
        int length = head.contentLength();
        in.skipNBytes(length);
        return new Answer(head.status(), length, head.closes());
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
