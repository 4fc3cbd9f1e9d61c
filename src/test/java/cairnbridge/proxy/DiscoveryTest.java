package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.TimeBudget;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Mainly: the proxy uses a list change in {@link TimeBudget}'s limit despite failed calls. */
class DiscoveryTest extends ProxyTestSupport {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Handles one call to discovery; the last handler serves all further calls. */
    private interface CallHandler {
        void handle(Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    private StubServer discoveryServer(CallHandler... handlers) throws IOException {
        AtomicInteger calls = new AtomicInteger();
        return new StubServer(request -> "") {
            @Override
            Void serve(Socket socket) throws IOException, InterruptedException {
                String request = readMessage(socket);
                if (request != null) {
                    requests.add(request);
                    handlers[Math.min(calls.getAndIncrement(), handlers.length - 1)].handle(
                            socket, socket.getOutputStream());
                }
                return null;
            }
        };
    }

    private static void holdOpen(Socket socket, OutputStream out) throws IOException {
        readMessage(socket); // Blocks until the proxy closes the connection.
    }

    private static void reset(Socket socket, OutputStream out) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void startWithDiscovery(StubServer discoveryStub) throws Exception {
        cache = new StubServer(request -> HIT);
        origin = new StubServer(request -> "200 OK||fetched");
        discovery = discoveryStub;
        proxy =
                startServer(
                        endpointListJson(
                                1, true, endpointJson("o", origin.address(), "origin", "Ready")));
    }

    /** A list update that adds the cache. It is in use once the cache has answered a read. */
    private String cacheAdded(int version) {
        return endpointListJson(
                version, false, endpointJson("c", cache.address(), "cache", "Ready"));
    }

    private void awaitCacheInUse() throws IOException, InterruptedException {
        waitUntil(
                () ->
                        statusCode(sendRequest("GET /view/1", ttlHeader(300), "")) == 200
                                && !cache.requests.isEmpty());
    }

    private void respond(OutputStream out, String text) throws IOException {
        out.write((HEAD + chunk(text)).getBytes(StandardCharsets.ISO_8859_1));
    }

    /**
     * Guards against routing by an outdated list during the start: discovery's list counts as
     * notified as soon as the process runs.
     */
    @Test
    void aStartingProxySendsNothingByItsConfiguredListBeforeDiscoveryAnswers() throws Exception {
        StubServer terminating = new StubServer(request -> HIT);
        AtomicInteger requestsSent = new AtomicInteger();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            // Clients send requests all this time.
                            waitUntil(() -> requestsSent.get() >= 30);
                            respond(
                                    out,
                                    endpointListJson(
                                                    2,
                                                    false,
                                                    endpointJson(
                                                            "c", cache.address(), "cache", "Ready"),
                                                    endpointJson(
                                                            "gone",
                                                            terminating.address(),
                                                            "cache",
                                                            "Terminating"))
                                            + "\n");
                            holdOpen(socket, out);
                        }));
        proxy.stop();
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Thread clients =
                daemon(
                        () -> {
                            for (int code = 0; code != 200; requestsSent.incrementAndGet()) {
                                code = readStatus(port);
                            }
                            return null;
                        });
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("gone", terminating.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        clients.join();
        assertEquals(List.of(), terminating.requests);
        assertEquals(1, cache.requests.size());
    }

    /** Guards against a late update when the backoff is long and a call hangs after an outage. */
    @Test
    void anUpdateArrivesInTimeAfterCallsThatFailInEveryWay() throws Exception {
        AtomicLong recoveredAt = new AtomicLong();
        CallHandler failing = DiscoveryTest::reset;
        CallHandler unavailable =
                (socket, out) -> out.write("HTTP/1.1 503 Down\r\n\r\n".getBytes());
        CallHandler truncated = (socket, out) -> respond(out, "{\"rev\":1,\"all\":fal");
        startWithDiscovery(
                discoveryServer(
                        failing,
                        unavailable,
                        failing,
                        truncated,
                        failing,
                        failing,
                        failing,
                        (socket, out) -> {
                            // From now on discovery answers new calls, but this call still hangs.
                            recoveredAt.set(System.nanoTime());
                            holdOpen(socket, out);
                        },
                        failing,
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - recoveredAt.get()) / 1_000_000;
        assertTrue(
                millis
                        <= TimeBudget.LIST_CHANGE_LIMIT_MILLIS
                                - TimeBudget.LIST_CHANGE_SLACK_MILLIS / 2,
                "notified after " + millis);
    }

    /** Guards against a watch that stays open but falls silent, whatever its last bytes were. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\n", "{\"rev\":1,\"all\":false,\"targets\":[]}\n", "{\"rev\":"})
    void anUpdateMissedByASilentWatchArrivesInTime(String lastBytes) throws Exception {
        AtomicLong silentSince = new AtomicLong();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            out.write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
                            if (!lastBytes.isEmpty()) {
                                out.write(chunk(lastBytes).getBytes(StandardCharsets.ISO_8859_1));
                            }
                            silentSince.set(System.nanoTime());
                            holdOpen(socket, out);
                        },
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - silentSince.get()) / 1_000_000;
        assertTrue(
                millis <= TimeBudget.LIST_CHANGE_LIMIT_MILLIS - TimeBudget.LIST_CHANGE_SLACK_MILLIS,
                "notified after " + millis);
    }

    /** Guards against losing a change: the lines after an unusable one do not repeat it. */
    @Test
    void anUnusableLineCausesARequestForTheWholeList() throws Exception {
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            respond(
                                    out,
                                    "{\"rev\":2,\"all\":false,\"targets\":[{\"uid\":\"c\",oops}]}\n");
                            holdOpen(socket, out);
                        },
                        (socket, out) -> {
                            respond(
                                    out,
                                    cacheAdded(3)
                                                    .replace("false", "true")
                                                    .replace(
                                                            "]}",
                                                            ","
                                                                    + endpointJson(
                                                                            "o",
                                                                            origin.address(),
                                                                            "origin",
                                                                            "Ready")
                                                                    + "]}")
                                            + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        assertFalse(discovery.requests.get(1).contains("after="), discovery.requests.get(1));
    }

    /**
     * Guards against splitting a list at line breaks or at braces within strings: discovery may
     * indent its JSON, and a blank line is a heartbeat.
     */
    @Test
    void aListSpreadOverSeveralLinesIsParsedAsOneList() throws Exception {
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            respond(
                                    out,
                                    "\n"
                                            + cacheAdded(2)
                                                    .replace("{", "{\n    ")
                                                    .replace(",", ",\n  ")
                                                    .replace("\"az\":\"a\"", "\"az\":\"a}\\\"{\"")
                                            + "\n\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        assertEquals(1, discovery.requests.size());
    }

    /** Guards against parsing half a line, and against skipping its version on reopening. */
    @Test
    void aWatchCutOffWithinALineResumesAfterTheLastWholeVersion() throws Exception {
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            String text = cacheAdded(7) + "\n";
                            String size = Integer.toHexString(text.length());
                            out.write((HEAD + size + "\r\n" + text.substring(0, 30)).getBytes());
                            reset(socket, out);
                        },
                        (socket, out) -> {
                            respond(out, cacheAdded(7) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        assertTrue(discovery.requests.get(1).contains("after=1 "), discovery.requests.get(1));
    }

    /** Guards against a retry time of 60 s, in subscribe mode, that delays calls after failures. */
    @Test
    void anUpdateInSubscribeModeArrivesInTimeAfterFailedCalls() throws Exception {
        extraSettings = "\"registry-mode\":\"subscribe\",\"rules\":{\"ask-within-s\":60},";
        AtomicLong recoveredAt = new AtomicLong();
        CallHandler failing = DiscoveryTest::reset;
        startWithDiscovery(
                discoveryServer(
                        failing,
                        failing,
                        failing,
                        (socket, out) -> {
                            recoveredAt.set(System.nanoTime());
                            holdOpen(socket, out);
                        },
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - recoveredAt.get()) / 1_000_000;
        assertTrue(
                millis
                        <= TimeBudget.LIST_CHANGE_LIMIT_MILLIS
                                - TimeBudget.LIST_CHANGE_SLACK_MILLIS / 2,
                "notified after " + millis);
    }

    /** Guards against idle clients that, under a real ulimit, leave no descriptor for discovery. */
    @Test
    void idleClientsThatFillTheDescriptorsDoNotKeepTheListAway() throws Exception {
        maxSockets = 96;
        CountDownLatch discoveryUp = new CountDownLatch(1);
        AtomicLong updateSentAt = new AtomicLong();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            if (discoveryUp.getCount() > 0) {
                                reset(socket, out);
                            } else {
                                respond(out, cacheAdded(2) + "\n");
                                updateSentAt.compareAndSet(0, System.nanoTime());
                                holdOpen(socket, out);
                            }
                        }));
        proxy.stop();
        config(
                endpointListJson(
                        1,
                        true,
                        endpointJson("c", cache.address(), "cache", "Ready"),
                        endpointJson("o", origin.address(), "origin", "Ready")),
                discovery.address());
        String classPath = System.getProperty("java.class.path");
        // The shipped program is one file; in the test each library on the class path is a file of
        // its own that stays open.
        long limit = maxSockets + classPath.split(File.pathSeparator).length;
        Process process = startProcessAfter("ulimit -n " + limit);
        BufferedReader log = logOf(process);
        int port = portFromLog(log);
        daemon(
                () -> {
                    while (log.readLine() != null) {
                        // Drains the log, so that the process never blocks on writing it.
                        Thread.onSpinWait();
                    }
                    return null;
                });
        List<Socket> sockets = new ArrayList<>();
        Thread idleClients =
                daemon(
                        () -> {
                            while (true) {
                                // More connections than the process may hold, reopened if closed.
                                sockets.removeIf(Socket::isClosed);
                                for (int i = sockets.size(); i < 150; i++) {
                                    sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
                                }
                                for (Socket each : sockets) {
                                    each.setSoTimeout(1);
                                    try {
                                        if (each.getInputStream().read() < 0) {
                                            each.close();
                                        }
                                    } catch (IOException e) {
                                        if (!(e instanceof java.net.SocketTimeoutException)) {
                                            each.close();
                                        }
                                    }
                                }
                            }
                        });
        waitUntil(() -> sockets.size() >= 150);
        int calls = discovery.requests.size();
        waitUntil(() -> discovery.requests.size() >= calls + 3);
        long recoveredAt = System.nanoTime();
        discoveryUp.countDown();
        waitUntil(() -> updateSentAt.get() > 0);
        long millis = (updateSentAt.get() - recoveredAt) / 1_000_000;
        assertTrue(
                millis <= TimeBudget.LIST_CHANGE_LIMIT_MILLIS,
                "the watch is open again after " + millis);
        int code = 0;
        while (code == 0) {
            code = readStatus(port);
        }
        assertEquals(200, code, "an accepted request gets a descriptor for its node");
        assertEquals(1, cache.requests.size());
        assertTrue(idleClients.isAlive(), "the idle clients keep reconnecting");
    }

    /** The status code, or 0 if an idle client took the free descriptor first. */
    private int readStatus(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(500);
            send(client, "GET /view/1", ttlHeader(300), "");
            String answer = readMessage(client);
            return answer == null ? 0 : statusCode(answer);
        } catch (IOException e) {
            return 0;
        }
    }
}
