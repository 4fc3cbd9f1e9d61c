package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cairnbridge.config.ProxyConfig;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a proxy on real sockets, with stub servers as cache, origin and discovery. */
@Timeout(20)
abstract class ProxyTestSupport {
    // Responses of stub servers; see StubServer for the format.
    static final String HIT = "200 OK|X-Store: hit|kept";
    static final String MISS = "404 Not Found|X-Store: miss|";

    /** Resets the connection instead of responding. */
    static final String RESET_CONNECTION = "reset";

    /**
     * Prefix of a whole HTTP response with CRLF written as semicolon. The stub server sends the
     * response without the prefix and closes the connection.
     */
    static final String ANSWER_AND_CLOSE = "and close: ";

    /** Sends nothing and leaves the connection open. */
    static final String SILENT = "silent";

    /** Keeps a discovery watch open and sends only heartbeats on it. */
    static final String HEARTBEATS_ONLY = "quiet";

    /** An incremental endpoint list that changes nothing. */
    static final String EMPTY_UPDATE = "200 OK||{\"rev\":1,\"all\":false,\"targets\":[]}\n";

    @TempDir Path folder;
    final List<AutoCloseable> closeables = new ArrayList<>();
    StubHandler cacheHandler = request -> HIT;
    StubHandler originHandler = request -> "200 OK||fetched";
    StubHandler discoveryHandler = request -> HEARTBEATS_ONLY;
    int maxSockets = 256;
    int port;
    double keepAliveSeconds = 60;
    double connectSeconds = 0.2;

    /** Further members of the configuration file, each followed by a comma. */
    String extraConfig = "";

    /** Further members of the settings object in that file, each followed by a comma. */
    String extraSettings = "";

    String hedging = "false";

    /** The main class of the processes that are started. */
    String mainClass = "cairnbridge.cli.Main";

    /** Whether a critical thread of the proxy has ended. */
    volatile boolean criticalThreadEnded;

    TickClock clock = new TickClock();
    StubServer cache;
    StubServer origin;
    StubServer discovery;
    ProxyServer proxy;

    @AfterEach
    void close() throws Exception {
        assertFalse(criticalThreadEnded, "a critical thread of the proxy has ended");
        for (AutoCloseable each : closeables) {
            each.close();
        }
    }

    /**
     * A stub HTTP server that records the requests it receives. Its handler returns a response as
     * {@code status|header|body}, a whole HTTP response with CRLF written as semicolon, or one of
     * the special responses, such as {@link #SILENT}.
     */
    class StubServer implements AutoCloseable {
        final List<String> requests = new CopyOnWriteArrayList<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        final AtomicInteger closedConnectionCount = new AtomicInteger();
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final StubHandler handler;
        final Thread acceptThread;

        StubServer(StubHandler handler) throws IOException {
            this.handler = handler;
            closeables.add(this);
            acceptThread =
                    daemon(
                            () -> {
                                while (true) {
                                    Socket socket = server.accept();
                                    connections.add(socket);
                                    daemon(
                                            () -> {
                                                try {
                                                    return serve(socket);
                                                } finally {
                                                    closedConnectionCount.incrementAndGet();
                                                }
                                            });
                                }
                            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** The input of a connection; a subclass may observe it. */
        InputStream inputOf(Socket socket) throws IOException {
            return socket.getInputStream();
        }

        Void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = new BufferedInputStream(inputOf(socket));
            for (String request = readMessage(in); request != null; request = readMessage(in)) {
                requests.add(request);
                String response = handler.apply(request);
                if (response.equals(RESET_CONNECTION)) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return null;
                } else if (response.startsWith(ANSWER_AND_CLOSE)) {
                    socket.getOutputStream()
                            .write(
                                    response.substring(ANSWER_AND_CLOSE.length())
                                            .replace(";", "\r\n")
                                            .getBytes(StandardCharsets.ISO_8859_1));
                    socket.close();
                    return null;
                } else if (response.equals(HEARTBEATS_ONLY)) {
                    sendHeartbeats(socket);
                } else if (response.startsWith("HTTP/")) {
                    socket.getOutputStream()
                            .write(
                                    response.replace(";", "\r\n")
                                            .getBytes(StandardCharsets.ISO_8859_1));
                } else if (!response.equals(SILENT)) {
                    String[] parts = response.split("\\|", 3);
                    String header = parts[1].isEmpty() ? "" : parts[1] + "\r\n";
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 "
                                                    + parts[0]
                                                    + "\r\n"
                                                    + header
                                                    + "Content-Length: "
                                                    + parts[2].length()
                                                    + "\r\n\r\n"
                                                    + parts[2])
                                            .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            return null;
        }

        /**
         * Responds to a discovery watch with an empty line every 100 ms, until the peer closes the
         * connection.
         */
        private void sendHeartbeats(Socket socket) throws IOException, InterruptedException {
            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            socket.getOutputStream().write(head.getBytes());
            while (true) {
                Thread.sleep(100);
                socket.getOutputStream().write("1\r\n\n\r\n".getBytes());
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            try {
                // The port stays open until the accept call that is in progress returns.
                acceptThread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (Socket each : connections) {
                each.close();
            }
        }
    }

    /** Returns the response of a stub server to a request, in the format of {@link StubServer}. */
    interface StubHandler {
        String apply(String request) throws InterruptedException;
    }

    /** The work of a daemon thread. */
    interface InterruptibleTask {
        Object run() throws IOException, InterruptedException;
    }

    static Thread daemon(InterruptibleTask work) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                work.run();
                            } catch (IOException | InterruptedException e) {
                                // The test has ended, or the peer has closed the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads one whole message, head and body; null if the connection ends before. */
    static String readMessage(Socket socket) throws IOException {
        return readMessage(socket.getInputStream());
    }

    static String readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        int length = -1;
        boolean chunked = false;
        long tail = 0;
        for (int b = in.read(); b >= 0; b = in.read()) {
            bytes.write(b);
            text = length < 0 && b == '\n' ? bytes.toString(StandardCharsets.ISO_8859_1) : "";
            if (text.endsWith("\r\n\r\n")) {
                String lower = text.toLowerCase();
                int at = lower.indexOf("content-length: ");
                chunked = lower.contains("transfer-encoding: chunked");
                length =
                        chunked
                                ? Integer.MAX_VALUE
                                : text.length()
                                        + (at < 0
                                                ? 0
                                                : Integer.parseInt(
                                                        lower.substring(
                                                                at + 16,
                                                                lower.indexOf("\r\n", at))));
            }
            tail = tail << 8 | b;
            if (bytes.size() == length || chunked && (tail << 8 >>> 8) == 0x0D0A300D0A0D0AL) {
                return bytes.toString(StandardCharsets.ISO_8859_1);
            }
        }
        return null;
    }

    static String endpointJson(String uid, String address, String hostType, String state) {
        return endpointJson(uid, address, hostType, state, 1);
    }

    static String endpointJson(
            String uid, String address, String hostType, String state, double size) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + address
                + "\",\"az\":\"a\",\"model\":\""
                + hostType
                + "\",\"pod_group\":1,\"state\":\""
                + state
                + "\",\"capacity_hint\":"
                + size
                + ",\"boot_ms\":0,\"news\":[1]}";
    }

    static String endpointListJson(int version, boolean complete, String... targets) {
        return "{\"rev\":"
                + version
                + ",\"all\":"
                + complete
                + ",\"targets\":["
                + String.join(",", targets)
                + "]}";
    }

    ProxyConfig config(String endpointList, String discoveryAddress) throws IOException {
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                """
                {"name":"p","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964","known":%s,
                 "limits":{"sockets":%d},%s
                 "settings":{%s"azs":["a"],"host-types":["cache","origin"],"granularity-s":0.005,
                  "domain":{"mode":"aside","origin-kind":1},
                  "categories":[
                   {"name":"view","effect":"repeatable","group":"all","ttl-s":1,"target-latency-s":0.3,
                    "benefit":5,"overdue-benefit":0.2},
                   {"name":"loan","effect":"once","group":"all","ttl-s":1,"benefit":5,"overdue-benefit":0.2}],
                  "limits":{"cancel":true,"most-pushes":4,"second-copies":%s,"retry-after":true,
                   "max-retry-after-s":2,"dial-timeout-s":%s,"keepalive-s":%s}}}
                """
                        .formatted(
                                port,
                                discoveryAddress,
                                endpointList,
                                maxSockets,
                                extraConfig,
                                extraSettings,
                                hedging,
                                connectSeconds,
                                keepAliveSeconds));
        return ProxyConfig.read(Map.of("LB_CONFIG", file.toString(), "TMPDIR", folder.toString()));
    }

    void start(String... extraEndpoints) throws Exception {
        cache = new StubServer(request -> cacheHandler.apply(request));
        origin = new StubServer(request -> originHandler.apply(request));
        discovery = new StubServer(request -> discoveryHandler.apply(request));
        List<String> targets =
                new ArrayList<>(
                        List.of(
                                endpointJson("c", cache.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        targets.addAll(List.of(extraEndpoints));
        proxy = startServer(endpointListJson(1, true, targets.toArray(String[]::new)));
    }

    ProxyServer startServer(String endpointList) throws Exception {
        ProxyServer server =
                new ProxyServer(
                        config(endpointList, discovery.address()),
                        () -> criticalThreadEnded = true,
                        clock);
        closeables.add(server::stop);
        server.start();
        return server;
    }

    /** Starts the proxy as a separate process with the configuration file in this test's folder. */
    Process startProcess() throws IOException {
        return startProcessAfter("true");
    }

    /**
     * Starts the proxy as a separate process, from a shell that runs a command first. The process
     * inherits the limits and signal dispositions that the command sets.
     */
    Process startProcessAfter(String shellCommand) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        "bash",
                        "-c",
                        shellCommand + "; exec \"$@\"",
                        "-",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        mainClass,
                        "serve");
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        closeables.add(() -> process.destroyForcibly().waitFor());
        return process;
    }

    static BufferedReader logOf(Process process) {
        return new BufferedReader(new InputStreamReader(process.getErrorStream()));
    }

    /** Reads up to the first line that contains a text, and returns that line. */
    static String awaitLogLine(BufferedReader log, String text) throws IOException {
        List<String> others = new ArrayList<>();
        String line = log.readLine();
        while (line != null && !line.contains(text)) {
            others.add(line);
            line = log.readLine();
        }
        assertNotNull(line, "the log has no line with: " + text + ", but " + others);
        return line;
    }

    static int portFromLog(BufferedReader log) throws IOException {
        String line = awaitLogLine(log, " serves on ");
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    Socket connectClient() throws IOException {
        InetSocketAddress address = proxy.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        closeables.add(socket);
        return socket;
    }

    static void send(Socket socket, String requestLine, String headers, String body)
            throws IOException {
        socket.getOutputStream()
                .write(
                        (requestLine
                                        + " HTTP/1.1\r\nHost: app.svc\r\n"
                                        + headers
                                        + (body.isEmpty()
                                                ? ""
                                                : "Content-Length: " + body.length() + "\r\n")
                                        + "\r\n"
                                        + body)
                                .getBytes(StandardCharsets.ISO_8859_1));
    }

    static String ttlHeader(int millis) {
        return "X-Trace-Id: 9b1f\r\nX-Expires-In: " + millis + "m\r\n";
    }

    String sendRequest(String requestLine, String headers, String body) throws IOException {
        Socket socket = connectClient();
        send(socket, requestLine, headers, body);
        return readMessage(socket);
    }

    /** A condition that {@link #waitUntil} checks repeatedly. */
    interface Condition {
        boolean holds() throws IOException;
    }

    static void waitUntil(Condition condition) throws IOException, InterruptedException {
        while (!condition.holds()) {
            Thread.sleep(2);
        }
    }

    static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sendSignal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    static int statusCode(String response) {
        return Integer.parseInt(response.split(" ")[1]);
    }

    static String bodyOf(String message) {
        return message.substring(message.indexOf("\r\n\r\n") + 4);
    }
}
