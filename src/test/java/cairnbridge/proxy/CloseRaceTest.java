package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.TimeBudget;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Connections and processes that close while a connect, a request or a response is pending. Latches
 * and withheld bytes force the order of events.
 */
class CloseRaceTest extends ProxyTestSupport {
    /**
     * A node whose accept backlog is full: further connects hang until it accepts the queued
     * connections.
     */
    private final class FullBacklogNode implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final List<Socket> fillers = new ArrayList<>();

        FullBacklogNode() throws IOException {
            closeables.add(this);
            // Linux queues one connection more than the backlog; further connects hang.
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /**
         * Drains the backlog, accepts the pending connection and reads its first byte. Returns -1
         * if it closes without sending a byte or never connects.
         */
        int acceptAndReadFirstByte() throws IOException {
            for (int i = 0; i < fillers.size(); i++) {
                server.accept();
            }
            // The kernel repeats the SYN after one and after three seconds.
            server.setSoTimeout(4000);
            try (Socket pending = server.accept()) {
                pending.setSoTimeout(1000);
                return pending.getInputStream().read();
            } catch (IOException e) {
                return -1; // Cancelled before it was established, or reset afterwards.
            }
        }

        @Override
        public void close() throws IOException {
            server.close();
            for (Socket each : fillers) {
                each.close();
            }
        }
    }

    /**
     * Starts the proxy with a request whose attempt is connecting to a cache with a full backlog.
     * Discovery sends a list with the given state of that cache once {@code change} is released.
     */
    private FullBacklogNode startWithPendingConnect(
            Socket[] client, CountDownLatch change, String state) throws Exception {
        connectSeconds = 5;
        FullBacklogNode node = new FullBacklogNode();
        cache = new StubServer(request -> HIT);
        origin = new StubServer(request -> "200 OK||fetched");
        String update =
                endpointListJson(
                                2,
                                false,
                                endpointJson("late", node.address(), "cache", state),
                                endpointJson("c", cache.address(), "cache", "Ready"))
                        + "\n";
        discovery =
                new StubServer(request -> "") {
                    @Override
                    Void serve(Socket socket) throws IOException, InterruptedException {
                        requests.add(readMessage(socket));
                        OutputStream out = socket.getOutputStream();
                        out.write(
                                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes());
                        while (!change.await(100, TimeUnit.MILLISECONDS)) {
                            out.write("1\r\n\n\r\n".getBytes());
                        }
                        out.write(
                                (Integer.toHexString(update.length()) + "\r\n" + update + "\r\n")
                                        .getBytes());
                        readMessage(socket); // Blocks until the proxy closes the connection.
                        return null;
                    }
                };
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("late", node.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        int descriptorsBefore = proxy.openDescriptors();
        client[0] = connectClient();
        send(client[0], "GET /view/1", ttlHeader(4000), ""); // Below the connect timeout.
        // The client's connection and the pending connect.
        waitUntil(() -> proxy.openDescriptors() >= descriptorsBefore + 2);
        return node;
    }

    /**
     * Guards against sending an attempt on a connection that is established after discovery has
     * listed its node as terminating or gone.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void anAttemptPendingOnConnectIsCancelledWhenItsNodeDrainsOrIsRemoved(String state)
            throws Exception {
        Socket[] client = new Socket[1];
        CountDownLatch change = new CountDownLatch(1);
        FullBacklogNode node = startWithPendingConnect(client, change, state);
        change.countDown();
        assertEquals(
                200, statusCode(readMessage(client[0])), "another node serves the request at once");
        assertEquals(1, cache.requests.size());
        assertEquals(-1, node.acceptAndReadFirstByte());
    }

    /**
     * Guards against sending an attempt on a newly established connection after its client has
     * disconnected.
     */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void anAttemptPendingOnConnectIsCancelledWhenItsClientDisconnects(String closeKind)
            throws Exception {
        Socket[] client = new Socket[1];
        FullBacklogNode node = startWithPendingConnect(client, new CountDownLatch(1), "Ready");
        disconnect(client[0], closeKind);
        assertEquals(-1, node.acceptAndReadFirstByte());
    }

    private static void disconnect(Socket client, String closeKind) throws IOException {
        switch (closeKind) {
            case "half" -> client.shutdownOutput();
            case "reset" -> {
                client.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    /**
     * By the specification, a client that closes its connection has abandoned its request. The
     * proxy cannot tell a half-close from a close and treats both alike.
     */
    @ParameterizedTest
    @CsvSource({
        "close, 0",
        "half, 0",
        "reset, 0",
        "close, 1",
        "half, 1",
        "reset, 1",
        "close, 30000",
        "half, 30000",
        "reset, 30000",
        "close, 600000",
        "half, 600000",
        "reset, 600000"
    })
    void aClientsDisconnectIsDetectedBehindUnreadBytes(String closeKind, int unreadBytes)
            throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        client.getOutputStream()
                .write(
                        "GET /view/2 HTTP/1.1\r\n"
                                .repeat(unreadBytes / 22 + 1)
                                .substring(0, unreadBytes)
                                .getBytes(StandardCharsets.ISO_8859_1));
        disconnect(client, closeKind);
        waitUntil(() -> cache.closedConnectionCount.get() == 1);
    }

    @Test
    void aClientsDisconnectIsDetectedWhileAResponseIsStreamed() throws Exception {
        cacheHandler = request -> "HTTP/1.1 200 OK;Content-Length: 9000000;;" + "x".repeat(100_000);
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(60_000), "");
        assertEquals('H', client.getInputStream().read());
        disconnect(client, "close");
        waitUntil(() -> cache.closedConnectionCount.get() == 1);
    }

    /**
     * Guards against closing a socket with unread bytes: the kernel then sends a reset, and the
     * client may lose the last response.
     */
    @Test
    void theLastResponseArrivesWholeAndWithoutAResetDespiteUnreadClientBytes() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        cacheHandler =
                request -> {
                    answer.await();
                    return HIT;
                };
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(9000), "");
        waitUntil(() -> cache.requests.size() == 1);
        daemon(
                () -> {
                    byte[] extraBytes =
                            "GET /view/2 HTTP/1.1\r\n"
                                    .repeat(1000)
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    for (int i = 0; i < 40; i++) {
                        client.getOutputStream().write(extraBytes);
                        answer.countDown();
                    }
                    return null;
                });
        assertEquals("kept", bodyOf(readMessage(client)));
        assertEquals(400, statusCode(readMessage(client)));
        assertEquals(
                -1, client.getInputStream().read(), "the connection is closed without a reset");
        assertEquals(1, cache.requests.size());
    }

    /**
     * Guards against a shutdown that waits for an in-flight request until SIGKILL cuts it off: a
     * request whose TTL exceeds the shutdown time must be answered before the process exits.
     */
    @Test
    void anInFlightRequestWithALongTtlIsAnsweredBeforeTheShutdownEnds() throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        long drainStartNanos = System.nanoTime();
        Thread drain =
                daemon(
                        () -> {
                            proxy.drain();
                            return null;
                        });
        String answer = readMessage(client);
        long millis = (System.nanoTime() - drainStartNanos) / 1_000_000;
        assertNotNull(answer);
        assertEquals(503, statusCode(answer));
        assertTrue(millis <= TimeBudget.shutdownEndMillis(1000), "answered after " + millis);
        drain.join();
    }

    /**
     * Guards against signals during a shutdown that delay it or drop requests: the process must
     * answer its request and exit by itself in time.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "TERM", "HUP", "HUP TERM HUP"})
    void furtherSignalsDoNotAffectAGracefulShutdown(String signals) throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Process process = startProcess();
        int port = portFromLog(logOf(process));
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        closeables.add(client);
        send(client, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        sendSignal(process, "TERM");
        long signalNanos = System.nanoTime();
        for (String each : signals.isEmpty() ? new String[0] : signals.split(" ")) {
            sendSignal(process, each);
        }
        assertEquals(503, statusCode(readMessage(client)));
        long millis = (System.nanoTime() - signalNanos) / 1_000_000;
        assertTrue(millis <= 1000 + TimeBudget.KILL_MARGIN_MILLIS, "answered after " + millis);
        assertEquals(
                -1, client.getInputStream().read(), "the connection is closed without a reset");
        // The process exits by itself, with no request left that a SIGKILL could cut off.
        process.waitFor();
    }

    @Test
    void aProxyTerminatedDuringItsStartExitsByItself() throws Exception {
        start();
        Process process = startProcess();
        // The process fetches its endpoint list and warms up.
        waitUntil(() -> discovery.requests.size() >= 2);
        sendSignal(process, "TERM");
        process.waitFor();
    }

    /**
     * Guards against taking a truncated response for a whole one, also where no header gives its
     * length.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "Connection: close;;part",
                "Transfer-Encoding: chunked;;4;part;",
                "Transfer-Encoding: chunked;;4;part;0;",
                "Content-Length: 9;;part"
            })
    void aResponseCutOffByAResetIsNotASuccess(String head) throws Exception {
        start();
        StubServer resetting =
                new StubServer(request -> HIT) {
                    @Override
                    Void serve(Socket socket) throws IOException {
                        String request = readMessage(socket);
                        requests.add(request);
                        socket.getOutputStream()
                                .write(("HTTP/1.1 200 OK;" + head).replace(";", "\r\n").getBytes());
                        socket.setSoLinger(true, 0);
                        socket.close();
                        return null;
                    }
                };
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("cut", resetting.address(), "cache", "Ready"),
                                endpointJson("o", resetting.address(), "origin", "Ready")));
        assertEquals(
                502,
                statusCode(sendRequest("PUT /loan/1", ttlHeader(900), "v")),
                "the write may have run, so the proxy must not report it as rejected");
        assertEquals(1, resetting.requests.size());
        String readResponse = sendRequest("GET /view/1", ttlHeader(900), "");
        assertTrue(statusCode(readResponse) != 200, readResponse);
    }

    /**
     * Guards against a reset of a client connection whose next request arrives while the proxy
     * closes it: the client must see an orderly close.
     */
    @Test
    void aRequestSentDuringAGracefulCloseIsNotForwardedAndItsConnectionIsNotReset()
            throws Exception {
        start();
        Socket idle = connectClient();
        send(idle, "GET /view/1", ttlHeader(900), "");
        assertEquals(200, statusCode(readMessage(idle)));
        proxy.finishClients();
        assertEquals(-1, idle.getInputStream().read());
        // The proxy has shut down its output but not closed the socket, so these bytes race with
        // the close.
        send(idle, "GET /view/crossed", ttlHeader(900), "");
        idle.getOutputStream().write(new byte[20_000]);
        assertEquals(-1, idle.getInputStream().read());
        int descriptorsBefore = proxy.openDescriptors();
        idle.close();
        waitUntil(() -> proxy.openDescriptors() < descriptorsBefore);
        assertEquals(1, cache.requests.size());
    }
}
