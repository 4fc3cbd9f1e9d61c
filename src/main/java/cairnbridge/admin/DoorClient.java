package cairnbridge.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The other side of a door: one call and all of its answer. */
public final class DoorClient {
    private DoorClient() {}

    /** millis: how long to wait for the connection, and for each part of the answer. */
    public static String ask(InetSocketAddress door, String call, int millis) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(door, millis);
            socket.setSoTimeout(millis);
            socket.getOutputStream().write((call + "\n").getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
