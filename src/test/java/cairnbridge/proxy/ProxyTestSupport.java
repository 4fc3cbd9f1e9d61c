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
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One proxy on real sockets, among stand-ins for caches, origin, discovery and clients. */
@Timeout(20)
abstract class ProxyTestSupport {
    static final String HIT = "200 OK|X-Store: hit|kept";
    static final String MISS = "404 Not Found|X-Store: miss|";
    static final String RESET_CONNECTION = "reset";
    static final String ANSWER_AND_CLOSE = "and close: ";
    static final String SILENT = "silent";
    static final String QUIET = "quiet";
    static final String EMPTY_LIST = "200 OK||{\"rev\":1,\"all\":false,\"targets\":[]}\n";

    @TempDir Path folder;
    final List<AutoCloseable> opened = new ArrayList<>();
    RequestHandler cacheHandler = request -> HIT;
    RequestHandler originHandler = request -> "200 OK||fetched";
    RequestHandler discoveryHandler = request -> QUIET;
    int maxSockets = 256;
    int port;
    double idleSeconds = 60;
    double connectSeconds = 0.2;

    /** More of the configuration and of its settings, for a deployment of another shape. */
    String extraConfig = "";

    String extraSettings = "";
    String hedging = "false";

    volatile boolean broken;
    TickClock clock = new TickClock();
    StandInServer cache;
    StandInServer origin;
    StandInServer discovery;
    ProxyServer proxy;

    @AfterEach
    void close() throws Exception {
        assertFalse(broken, "a thread of the proxy has ended");
        for (AutoCloseable each : opened) {
            each.close();
        }
    }

    /**
     * What a server of the fleet sees and does: requests as texts, answers as status|header|body.
     */
    class StandInServer implements AutoCloseable {
        final List<String> requests = new CopyOnWriteArrayList<>();
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        final AtomicInteger endedConnections = new AtomicInteger();
        final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        final RequestHandler handler;
        final Thread acceptThread;

        StandInServer(RequestHandler does) throws IOException {
            this.handler = does;
            opened.add(this);
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
                                                    endedConnections.incrementAndGet();
                                                }
                                            });
                                }
                            });
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        Void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (String request = readMessage(in); request != null; request = readMessage(in)) {
                requests.add(request);
                String answer = handler.apply(request);
                if (answer.equals(RESET_CONNECTION)) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return null;
                } else if (answer.startsWith(ANSWER_AND_CLOSE)) {
                    socket.getOutputStream()
                            .write(
                                    answer.substring(ANSWER_AND_CLOSE.length())
                                            .replace(";", "\r\n")
                                            .getBytes(StandardCharsets.ISO_8859_1));
                    socket.close();
                    return null;
                } else if (answer.equals(QUIET)) {
                    sendHeartbeats(socket);
                } else if (answer.startsWith("HTTP/")) {
                    socket.getOutputStream()
                            .write(
                                    answer.replace(";", "\r\n")
                                            .getBytes(StandardCharsets.ISO_8859_1));
                } else if (!answer.equals(SILENT)) {
                    String[] part = answer.split("\\|", 3);
                    String header = part[1].isEmpty() ? "" : part[1] + "\r\n";
                    socket.getOutputStream()
                            .write(
                                    ("HTTP/1.1 "
                                                    + part[0]
                                                    + "\r\n"
                                                    + header
                                                    + "Content-Length: "
                                                    + part[2].length()
                                                    + "\r\n\r\n"
                                                    + part[2])
                                            .getBytes(StandardCharsets.ISO_8859_1));
                }
            }
            return null;
        }

        /**
         * A watch on which nothing changes: an empty line now and then, until the other side
         * closes.
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
                // A system call that still accepts keeps the port open after its close.
                acceptThread.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (Socket each : connections) {
                each.close();
            }
        }
    }

    /** How a stand-in answers. */
    interface RequestHandler {
        String apply(String request) throws InterruptedException;
    }

    /** What a thread does. */
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
                                // The story is over, or the other side has closed.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** One whole message, head and body, or null where the connection ends before. */
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

    static String endpointJson(String uid, String address, String kind, String state) {
        return "{\"uid\":\""
                + uid
                + "\",\"endpoint\":\""
                + address
                + "\",\"az\":\"a\",\"model\":\""
                + kind
                + "\",\"pod_group\":1,\"state\":\""
                + state
                + "\",\"capacity_hint\":1,\"boot_ms\":0,\"news\":[1]}";
    }

    static String endpointListJson(int version, boolean whole, String... targets) {
        return "{\"rev\":"
                + version
                + ",\"all\":"
                + whole
                + ",\"targets\":["
                + String.join(",", targets)
                + "]}";
    }

    ProxyConfig config(String known, String discoveryAddress) throws IOException {
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
                                known,
                                maxSockets,
                                extraConfig,
                                extraSettings,
                                hedging,
                                connectSeconds,
                                idleSeconds));
        return ProxyConfig.read(Map.of("LB_CONFIG", file.toString(), "TMPDIR", folder.toString()));
    }

    void start(String... more) throws Exception {
        cache = new StandInServer(request -> cacheHandler.apply(request));
        origin = new StandInServer(request -> originHandler.apply(request));
        discovery = new StandInServer(request -> discoveryHandler.apply(request));
        List<String> targets =
                new ArrayList<>(
                        List.of(
                                endpointJson("c", cache.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        targets.addAll(List.of(more));
        proxy = startServer(endpointListJson(1, true, targets.toArray(String[]::new)));
    }

    ProxyServer startServer(String known) throws Exception {
        ProxyServer made =
                new ProxyServer(config(known, discovery.address()), () -> broken = true, clock);
        opened.add(made::stop);
        made.start();
        return made;
    }

    /** The program as a process of its own, with the configuration in this test's folder. */
    Process startProcess() throws IOException {
        return startProcessAfter("true");
    }

    /** The same, begun by a shell after this command, whose limits and signals it inherits. */
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
                        "cairnbridge.cli.Main",
                        "serve");
        builder.environment().put("LB_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.start();
        opened.add(() -> process.destroyForcibly().waitFor());
        return process;
    }

    static BufferedReader logOf(Process process) {
        return new BufferedReader(new InputStreamReader(process.getErrorStream()));
    }

    /** The first line with these words: others may come before it, as time goes by. */
    static String awaitLogLine(BufferedReader log, String words) throws IOException {
        String line = log.readLine();
        while (line != null && !line.contains(words)) {
            line = log.readLine();
        }
        assertNotNull(line, "no line says: " + words);
        return line;
    }

    static int portFromLog(BufferedReader log) throws IOException {
        String line = awaitLogLine(log, " serves on ");
        return Integer.parseInt(line.substring(line.lastIndexOf(':') + 1));
    }

    Socket connectClient() throws IOException {
        InetSocketAddress address = proxy.address();
        Socket socket = new Socket(address.getAddress(), address.getPort());
        opened.add(socket);
        return socket;
    }

    static void send(Socket socket, String line, String headers, String body) throws IOException {
        socket.getOutputStream()
                .write(
                        (line
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

    String sendRequest(String line, String headers, String body) throws IOException {
        Socket socket = connectClient();
        send(socket, line, headers, body);
        return readMessage(socket);
    }

    /** What is waited for. */
    interface Condition {
        boolean holds() throws IOException;
    }

    static void waitUntil(Condition what) throws IOException, InterruptedException {
        while (!what.holds()) {
            Thread.sleep(2);
        }
    }

    static void sendSignal(Process process, String name) throws Exception {
        new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
    }

    static int statusCode(String answer) {
        return Integer.parseInt(answer.split(" ")[1]);
    }

    static String bodyOf(String message) {
        return message.substring(message.indexOf("\r\n\r\n") + 4);
    }
}
