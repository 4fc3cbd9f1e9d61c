import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A cache node or the origin: accepts connections that stay open, one request at a time on each. */
final class CacheNode {
    /** What a node does with a request that has come whole; called on the connection's thread. */
    interface Handler {
        void handle(CacheNode node, Http.Message request, Connection connection)
                throws IOException, InterruptedException;
    }

    /** One connection of the proxy. */
    static final class Connection {
        private final Socket socket;
        private final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            out = socket.getOutputStream();
        }

        int proxyPort() {
            return socket.getPort();
        }

        /** Writes an answer in one piece. */
        synchronized void answer(int status, String headers, String body) throws IOException {
            out.write((head(status, headers, body.length()) + body).getBytes(StandardCharsets.US_ASCII));
            out.flush();
        }

        /** Writes an answer 200 whose body is a block, repeated. */
        synchronized void answerLong(byte[] block, int repeats) throws IOException {
            String head = head(200, "X-Store: hit\r\n", (long) block.length * repeats);
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            for (int i = 0; i < repeats; i++) {
                out.write(block);
            }
            out.flush();
        }

        private static String head(int status, String headers, long length) {
            String reason = status == 200 ? "OK" : "Other";
            return "HTTP/1.1 "
                    + status
                    + " "
                    + reason
                    + "\r\n"
                    + headers
                    + "Content-Length: "
                    + length
                    + "\r\n\r\n";
        }
    }

    final String uid;
    private final ServerSocket server = new ServerSocket(0, 512, Rig.LOOPBACK);
    private final Handler handler;

    CacheNode(String uid, Handler handler) throws IOException {
        this.uid = uid;
        this.handler = handler;
    }

    int port() {
        return server.getLocalPort();
    }

    void start() {
        Thread thread = new Thread(this::acceptAll, uid);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), uid + " connection");
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException e) {
            // The case is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            Connection connection = new Connection(socket);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message request = Http.read(in);
            while (request != null) {
                handler.handle(this, request, connection);
                request = Http.read(in);
            }
        } catch (IOException | InterruptedException e) {
            // The proxy has closed the connection.
        }
    }
}
