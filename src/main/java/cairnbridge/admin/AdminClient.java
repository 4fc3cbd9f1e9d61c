package cairnbridge.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client of the administration endpoint. */
public final class AdminClient {
    private AdminClient() {}

    /**
     * Sends one request line and reads the answer until the server closes the connection.
     *
     * @param timeoutMillis the timeout of the connect and of each read
     * @throws IOException if the connection fails or a timeout expires
     */
    public static String sendRequest(InetSocketAddress server, String request, int timeoutMillis)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(server, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write((request + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
