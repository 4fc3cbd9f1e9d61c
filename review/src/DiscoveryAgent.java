import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Discovery: gives the whole list to each call, and an empty line every 2 s to a watch. */
final class DiscoveryAgent {
    private record Target(String uid, int port, String model) {}

    private final ServerSocket server = new ServerSocket(0, 64, Rig.LOOPBACK);
    private final List<Target> targets = new ArrayList<>();
    private final List<Socket> watches = new ArrayList<>();

    DiscoveryAgent() throws IOException {}

    int port() {
        return server.getLocalPort();
    }

    /** Adds a node; to be called before {@link #start}. */
    void add(String uid, int port, boolean origin) {
        targets.add(new Target(uid, port, origin ? "origin" : "std-1"));
    }

    String list(boolean all) {
        List<String> entries = new ArrayList<>();
        for (Target target : targets) {
            entries.add(
                    String.format(
                            "{\"uid\":\"%s\",\"endpoint\":\"127.0.0.1:%d\",\"az\":\"z1\","
                                    + "\"model\":\"%s\",\"pod_group\":1,\"state\":\"Ready\","
                                    + "\"capacity_hint\":1.0,\"boot_ms\":0}",
                            target.uid(), target.port(), target.model()));
        }
        return "{\"rev\":41,\"all\":" + all + ",\"targets\":[" + String.join(",", entries) + "]}";
    }

    void start() {
        Thread thread = new Thread(this::acceptAll, "discovery");
        thread.setDaemon(true);
        thread.start();
    }

    /** Ends all open watches. */
    void endWatches() throws IOException {
        synchronized (watches) {
            for (Socket watch : watches) {
                watch.close();
            }
            watches.clear();
        }
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "discovery call");
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
            Http.Message request = Http.read(new BufferedInputStream(socket.getInputStream()));
            if (request == null) {
                return;
            }
            OutputStream out = socket.getOutputStream();
            if (!request.secondWord().contains("watch=1")) {
                byte[] body = list(true).getBytes(StandardCharsets.US_ASCII);
                out.write(
                        ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                                        + body.length
                                        + "\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                out.write(body);
                return;
            }
            out.write(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            writeChunk(out, list(true) + "\n");
            synchronized (watches) {
                watches.add(socket);
            }
            while (true) {
                Thread.sleep(2000);
                writeChunk(out, "\n");
            }
        } catch (IOException | InterruptedException e) {
            // The proxy has closed the call.
        }
    }

    private static void writeChunk(OutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        out.write(
                (Integer.toHexString(bytes.length) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }
}
