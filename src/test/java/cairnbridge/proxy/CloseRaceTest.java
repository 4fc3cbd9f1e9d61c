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

/** Ends that cross something which is still owed, each forced by a latch or by held-back bytes. */
class CloseRaceTest extends ProxyTestSupport {
    /** A node whose connections do not come up until it takes what fills its queue. */
    private final class FullBacklogNode implements AutoCloseable {
        final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        final List<Socket> fillers = new ArrayList<>();

        FullBacklogNode() throws IOException {
            opened.add(this);
            // Linux takes one more than the backlog says; further ones hang in their dial.
            for (int i = 0; i < 2; i++) {
                fillers.add(new Socket(server.getInetAddress(), server.getLocalPort()));
            }
        }

        String address() {
            return "127.0.0.1:" + server.getLocalPort();
        }

        /** The first byte that comes on what has waited, or under 0 where it ends without one. */
        int acceptAndReadFirstByte() throws IOException {
            for (int i = 0; i < fillers.size(); i++) {
                server.accept();
            }
            server.setSoTimeout(4000); // The system dials again after one second and after three.
            try (Socket waited = server.accept()) {
                waited.setSoTimeout(1000);
                return waited.getInputStream().read();
            } catch (IOException e) {
                return -1; // Given up before it came up, or reset as it did.
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
     * Starts with a cache that does not answer its dial, an op on its way there, and a list to
     * come.
     */
    private FullBacklogNode startWithPendingConnect(Socket[] client, CountDownLatch change, String state) throws Exception {
        connectSeconds = 5;
        FullBacklogNode late = new FullBacklogNode();
        cache = new StandInServer(request -> HIT);
        origin = new StandInServer(request -> "200 OK||fetched");
        String told =
                endpointListJson(
                                2,
                                false,
                                endpointJson("late", late.address(), "cache", state),
                                endpointJson("c", cache.address(), "cache", "Ready"))
                        + "\n";
        discovery =
                new StandInServer(request -> "") {
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
                                (Integer.toHexString(told.length()) + "\r\n" + told + "\r\n")
                                        .getBytes());
                        readMessage(socket); // Until the other side ends it.
                        return null;
                    }
                };
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("late", late.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        int held = proxy.openDescriptors();
        client[0] = connectClient();
        send(client[0], "GET /view/1", ttlHeader(4000), ""); // Less than the dial may take.
        waitUntil(
                () -> proxy.openDescriptors() >= held + 2); // The client's, and the dial under way.
        return late;
    }

    /**
     * Guards against a send after the word that nothing new may go there, as the connection comes
     * up.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Terminating", "Gone"})
    void anAttemptPendingOnConnectIsCancelledWhenItsNodeDrainsOrIsRemoved(String state)
            throws Exception {
        Socket[] client = new Socket[1];
        CountDownLatch change = new CountDownLatch(1);
        FullBacklogNode late = startWithPendingConnect(client, change, state);
        change.countDown();
        assertEquals(200, statusCode(readMessage(client[0])), "another node takes it at once");
        assertEquals(1, cache.requests.size());
        assertEquals(-1, late.acceptAndReadFirstByte());
    }

    /** Guards against an attempt for nobody, begun as its connection comes up. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "reset"})
    void anAttemptPendingOnConnectIsCancelledWhenItsClientDisconnects(String end) throws Exception {
        Socket[] client = new Socket[1];
        FullBacklogNode late = startWithPendingConnect(client, new CountDownLatch(1), "Ready");
        disconnect(client[0], end);
        assertEquals(-1, late.acceptAndReadFirstByte());
    }

    private static void disconnect(Socket client, String end) throws IOException {
        switch (end) {
            case "half" -> client.shutdownOutput();
            case "reset" -> {
                client.setSoLinger(true, 0);
                client.close();
            }
            default -> client.close();
        }
    }

    /**
     * By the page who closes has gone; a half-close looks the same from here, and counts as that.
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
    void aClientsDisconnectIsDetectedBehindUnreadBytes(String end, int junk) throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Socket leaving = connectClient();
        send(leaving, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        leaving.getOutputStream()
                .write(
                        "GET /view/2 HTTP/1.1\r\n"
                                .repeat(junk / 22 + 1)
                                .substring(0, junk)
                                .getBytes(StandardCharsets.ISO_8859_1));
        disconnect(leaving, end);
        waitUntil(() -> cache.endedConnections.get() == 1);
    }

    @Test
    void aClientsDisconnectIsDetectedWhileAResponseIsStreamed() throws Exception {
        cacheHandler = request -> "HTTP/1.1 200 OK;Content-Length: 9000000;;" + "x".repeat(100_000);
        start();
        Socket leaving = connectClient();
        send(leaving, "GET /view/1", ttlHeader(60_000), "");
        assertEquals('H', leaving.getInputStream().read());
        disconnect(leaving, "close");
        waitUntil(() -> cache.endedConnections.get() == 1);
    }

    /** Guards against a reset, for unread bytes, that takes the last answer with it. */
    @Test
    void theLastResponseArrivesWholeAndWithoutAResetDespiteUnreadClientBytes() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        cacheHandler =
                request -> {
                    answer.await();
                    return HIT;
                };
        start();
        Socket rude = connectClient();
        send(rude, "GET /view/1", ttlHeader(9000), "");
        waitUntil(() -> cache.requests.size() == 1);
        daemon(
                () -> {
                    byte[] more =
                            "GET /view/2 HTTP/1.1\r\n"
                                    .repeat(1000)
                                    .getBytes(StandardCharsets.ISO_8859_1);
                    for (int i = 0; i < 40; i++) {
                        rude.getOutputStream().write(more);
                        answer.countDown();
                    }
                    return null;
                });
        assertEquals("kept", bodyOf(readMessage(rude)));
        assertEquals(400, statusCode(readMessage(rude)));
        assertEquals(-1, rude.getInputStream().read(), "ended, not reset");
        assertEquals(1, cache.requests.size());
    }

    /**
     * Guards against an op with more patience than the platform has: it is answered before the
     * process ends.
     */
    @Test
    void anInFlightRequestWithALongTtlIsAnsweredBeforeTheShutdownEnds()
            throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Socket patient = connectClient();
        send(patient, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        long told = System.nanoTime();
        Thread drain =
                daemon(
                        () -> {
                            proxy.drain();
                            return null;
                        });
        String answer = readMessage(patient);
        long millis = (System.nanoTime() - told) / 1_000_000;
        assertNotNull(answer);
        assertEquals(503, statusCode(answer));
        assertTrue(millis <= TimeBudget.shutdownEndMillis(1000), "answered after " + millis);
        drain.join();
    }

    /**
     * Whatever else it is told meanwhile, and if its start is not over: it answers, and ends by
     * itself in time.
     */
    @ParameterizedTest
    @ValueSource(strings = {"", "TERM", "HUP", "HUP TERM HUP"})
    void furtherSignalsDoNotAffectAGracefulShutdown(String more) throws Exception {
        cacheHandler = request -> SILENT;
        start();
        Process process = startProcess();
        int port = portFromLog(logOf(process));
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        opened.add(client);
        send(client, "GET /view/1", ttlHeader(60_000), "");
        waitUntil(() -> cache.requests.size() == 1);
        sendSignal(process, "TERM");
        long told = System.nanoTime();
        for (String each : more.isEmpty() ? new String[0] : more.split(" ")) {
            sendSignal(process, each);
        }
        assertEquals(503, statusCode(readMessage(client)));
        long millis = (System.nanoTime() - told) / 1_000_000;
        assertTrue(millis <= 1000 + TimeBudget.KILL_MARGIN_MILLIS, "answered after " + millis);
        assertEquals(-1, client.getInputStream().read(), "ended, not reset");
        process.waitFor(); // By itself; nothing is owed any more, so that a SIGKILL would find
        // nothing.
    }

    @Test
    void aProxyTerminatedDuringItsStartExitsByItself() throws Exception {
        start();
        Process process = startProcess();
        waitUntil(() -> discovery.requests.size() >= 2); // It calls for its list, and warms up.
        sendSignal(process, "TERM");
        process.waitFor();
    }

    /** Guards against an answer that seems whole because nothing says how long it is. */
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
        StandInServer cut =
                new StandInServer(request -> HIT) {
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
                                endpointJson("cut", cut.address(), "cache", "Ready"),
                                endpointJson("o", cut.address(), "origin", "Ready")));
        assertEquals(
                502,
                statusCode(sendRequest("PUT /loan/1", ttlHeader(900), "v")),
                "it may have run: no nack");
        assertEquals(1, cut.requests.size());
        String read1 = sendRequest("GET /view/1", ttlHeader(900), "");
        assertTrue(statusCode(read1) != 200, read1);
    }

    /**
     * Guards against a connection reset by a close over what crosses it: the client sees a plain
     * end.
     */
    @Test
    void aRequestSentDuringAGracefulCloseIsNotForwardedAndItsConnectionIsNotReset() throws Exception {
        start();
        Socket resting = connectClient();
        send(resting, "GET /view/1", ttlHeader(900), "");
        assertEquals(200, statusCode(readMessage(resting)));
        proxy.finishClients();
        assertEquals(-1, resting.getInputStream().read());
        // Our side has ended, its socket has not: what comes now has crossed the close.
        send(resting, "GET /view/crossed", ttlHeader(900), "");
        resting.getOutputStream().write(new byte[20_000]);
        assertEquals(-1, resting.getInputStream().read());
        int held = proxy.openDescriptors();
        resting.close();
        waitUntil(() -> proxy.openDescriptors() < held);
        assertEquals(1, cache.requests.size());
    }
}
