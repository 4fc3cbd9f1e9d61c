import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One client: sends one request at a time, and keeps its connection until the proxy closes it. */
final class Client implements AutoCloseable {
    /** How long a client waits for the next byte before it counts the answer as missing. */
    private static final int SILENCE_MILLIS = 12_000;

    private final InetSocketAddress proxy;
    private Socket socket;
    private InputStream in;
    private Http.Message head;

    Client(InetSocketAddress proxy) {
        this.proxy = proxy;
    }

    /** Sends a GET and reads the head of the answer. */
    Http.Message get(String target, String id, int expiresMillis) throws IOException {
        if (socket == null) {
            socket = new Socket(proxy.getAddress(), proxy.getPort());
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(SILENCE_MILLIS);
            in = new BufferedInputStream(socket.getInputStream());
        }
        String request =
                "GET "
                        + target
                        + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
                        + id
                        + "\r\nX-Expires-In: "
                        + expiresMillis
                        + "m\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        head = Http.readHead(in);
        if (head == null) {
            throw new IOException("the connection was closed with no answer");
        }
        return head;
    }

    /** Reads the body of the answer, and closes the connection if the proxy has said so. */
    void readBody(Http.BodySink sink) throws IOException {
        Http.readBody(in, head, sink);
        if ("close".equalsIgnoreCase(head.header("connection"))) {
            close();
        }
    }

    @Override
    public void close() {
        if (socket != null) {
            try {
                socket.close();
            } catch (IOException e) {
                // It is closed in any case.
            }
            socket = null;
        }
    }
}
