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

/**
 * A change is in hand within the time in which it counts as told, whatever became of the calls
 * before.
 */
class DiscoveryTest extends ProxyTestSupport {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** What discovery does with each call in turn; the last stays. */
    private interface CallHandler {
        void handle(Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    private StandInServer discoveryServer(CallHandler... turns) throws IOException {
        AtomicInteger calls = new AtomicInteger();
        return new StandInServer(request -> "") {
            @Override
            Void serve(Socket socket) throws IOException, InterruptedException {
                String request = readMessage(socket);
                if (request != null) {
                    requests.add(request);
                    turns[Math.min(calls.getAndIncrement(), turns.length - 1)].handle(
                            socket, socket.getOutputStream());
                }
                return null;
            }
        };
    }

    private static void holdOpen(Socket socket, OutputStream out) throws IOException {
        readMessage(socket); // Until the other side ends it.
    }

    private static void reset(Socket socket, OutputStream out) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void startWithDiscovery(StandInServer at) throws Exception {
        cache = new StandInServer(request -> HIT);
        origin = new StandInServer(request -> "200 OK||fetched");
        discovery = at;
        proxy =
                startServer(
                        endpointListJson(
                                1, true, endpointJson("o", origin.address(), "origin", "Ready")));
    }

    /** A list that names the cache; it is in use once a read is answered by that. */
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
     * What discovery has counts as told from a process's first moment: nothing goes by an older
     * list.
     */
    @Test
    void aStartingProxySendsNothingByItsConfiguredListBeforeDiscoveryAnswers() throws Exception {
        StandInServer gone = new StandInServer(request -> HIT);
        AtomicInteger tries = new AtomicInteger();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            waitUntil(() -> tries.get() >= 30); // Clients come all the while.
                            respond(
                                    out,
                                    endpointListJson(
                                                    2,
                                                    false,
                                                    endpointJson(
                                                            "c", cache.address(), "cache", "Ready"),
                                                    endpointJson(
                                                            "gone",
                                                            gone.address(),
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
                            for (int code = 0; code != 200; tries.incrementAndGet()) {
                                code = readStatus(port);
                            }
                            return null;
                        });
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("gone", gone.address(), "cache", "Ready"),
                                endpointJson("o", origin.address(), "origin", "Ready")));
        clients.join();
        assertEquals(List.of(), gone.requests);
        assertEquals(1, cache.requests.size());
    }

    /** Calls fail in every way, the wait has grown, and the last hangs as discovery comes back. */
    @Test
    void anUpdateArrivesInTimeAfterCallsThatFailInEveryWay() throws Exception {
        AtomicLong back = new AtomicLong();
        CallHandler failing = DiscoveryTest::reset;
        CallHandler down = (socket, out) -> out.write("HTTP/1.1 503 Down\r\n\r\n".getBytes());
        CallHandler cut = (socket, out) -> respond(out, "{\"rev\":1,\"all\":fal");
        startWithDiscovery(
                discoveryServer(
                        failing,
                        down,
                        failing,
                        cut,
                        failing,
                        failing,
                        failing,
                        (socket, out) -> {
                            back.set(System.nanoTime()); // From here on discovery would answer;
                            // this call hangs on.
                            holdOpen(socket, out);
                        },
                        failing,
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - back.get()) / 1_000_000;
        assertTrue(
                millis <= TimeBudget.NOTIFIED_MILLIS - TimeBudget.NOTIFIED_SLACK_MILLIS / 2,
                "in hand after " + millis);
    }

    /** Guards against a watch that is open and dead, whatever it brought last. */
    @ParameterizedTest
    @ValueSource(strings = {"", "\n", "{\"rev\":1,\"all\":false,\"targets\":[]}\n", "{\"rev\":"})
    void anUpdateMissedByASilentWatchArrivesInTime(String last) throws Exception {
        AtomicLong silent = new AtomicLong();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            out.write(HEAD.getBytes(StandardCharsets.ISO_8859_1));
                            if (!last.isEmpty()) {
                                out.write(chunk(last).getBytes(StandardCharsets.ISO_8859_1));
                            }
                            silent.set(System.nanoTime());
                            holdOpen(socket, out);
                        },
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - silent.get()) / 1_000_000;
        assertTrue(
                millis <= TimeBudget.NOTIFIED_MILLIS - TimeBudget.NOTIFIED_SLACK_MILLIS,
                "in hand after " + millis);
    }

    /**
     * Guards against a change that is missed for good, as what comes behind it says nothing of it.
     */
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
     * Lists may come indented; words in quotes may hold braces, and a blank line is a heartbeat.
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

    /** Guards against half a line taken for a line, and one that is told only behind it. */
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

    /** Where the list must be asked for, the module asks again in time as well. */
    @Test
    void anUpdateInSubscribeModeArrivesInTimeAfterFailedCalls() throws Exception {
        extraSettings = "\"registry-mode\":\"subscribe\",\"rules\":{\"ask-within-s\":60},";
        AtomicLong back = new AtomicLong();
        CallHandler failing = DiscoveryTest::reset;
        startWithDiscovery(
                discoveryServer(
                        failing,
                        failing,
                        failing,
                        (socket, out) -> {
                            back.set(System.nanoTime());
                            holdOpen(socket, out);
                        },
                        (socket, out) -> {
                            respond(out, cacheAdded(2) + "\n");
                            holdOpen(socket, out);
                        }));
        awaitCacheInUse();
        long millis = (System.nanoTime() - back.get()) / 1_000_000;
        assertTrue(
                millis <= TimeBudget.NOTIFIED_MILLIS - TimeBudget.NOTIFIED_SLACK_MILLIS / 2,
                "in hand after " + millis);
    }

    /**
     * A real limit on the process: clients that say nothing hold all that it may, and discovery
     * comes back.
     */
    @Test
    void idleClientsThatFillTheDescriptorsDoNotKeepTheListAway() throws Exception {
        maxSockets = 96;
        CountDownLatch up = new CountDownLatch(1);
        AtomicLong told = new AtomicLong();
        startWithDiscovery(
                discoveryServer(
                        (socket, out) -> {
                            if (up.getCount() > 0) {
                                reset(socket, out);
                            } else {
                                respond(out, cacheAdded(2) + "\n");
                                told.compareAndSet(0, System.nanoTime());
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
        String classes = System.getProperty("java.class.path");
        // The program is one file; here each of its libraries is one, and is held open.
        long limit = maxSockets + classes.split(File.pathSeparator).length;
        Process process = startProcessAfter("ulimit -n " + limit);
        BufferedReader log = logOf(process);
        int port = portFromLog(log);
        daemon(
                () -> {
                    while (log.readLine() != null) {
                        Thread.onSpinWait(); // Its log is taken, so that it never waits for that.
                    }
                    return null;
                });
        List<Socket> idle = new ArrayList<>();
        Thread crowd =
                daemon(
                        () -> {
                            while (true) {
                                // More than the process may hold, opened anew as it ends them.
                                idle.removeIf(Socket::isClosed);
                                for (int i = idle.size(); i < 150; i++) {
                                    idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
                                }
                                for (Socket each : idle) {
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
        waitUntil(() -> idle.size() >= 150);
        int calls = discovery.requests.size();
        waitUntil(() -> discovery.requests.size() >= calls + 3);
        long back = System.nanoTime();
        up.countDown();
        waitUntil(() -> told.get() > 0);
        long millis = (told.get() - back) / 1_000_000;
        assertTrue(millis <= TimeBudget.NOTIFIED_MILLIS, "the watch is back after " + millis);
        int code = 0;
        while (code == 0) {
            code = readStatus(port);
        }
        assertEquals(200, code, "what is taken finds a descriptor for its node");
        assertEquals(1, cache.requests.size());
        assertTrue(crowd.isAlive(), "the crowd has stayed");
    }

    /** The answer's code, or 0 where one of the crowd was faster. */
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
