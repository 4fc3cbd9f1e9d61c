package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Test;

/** The memory that long endpoint lists take while they are received and applied. */
class LargeListTest extends ProxyTestSupport {
    /** The most cache nodes of a fleet. */
    private static final int CACHES = 3200;

    /** Less than half of the heap of a deployed proxy, whose other half connections may need. */
    private static final String SMALL_HEAP =
            "export JAVA_TOOL_OPTIONS='-XX:+UseSerialGC -Xmx24m -Xmn6m"
                    + " -XX:+ExitOnOutOfMemoryError'";

    /** The heap of a deployed proxy less what a thousand connections may need. */
    private static final String HEAP_WITHOUT_CONNECTIONS =
            "export JAVA_TOOL_OPTIONS='-XX:+UseSerialGC -Xmx30m -Xmn6m"
                    + " -XX:+ExitOnOutOfMemoryError'";

    private static final double LARGEST_SIZE = 4;
    private static final double[] MIXED_SIZES = {0.25, 1, 2.5, 4, 64};
    private static final int LISTS_IN_A_ROW = 12;
    private static final int WHOLE_LISTS = 4;
    private static final int LISTS_AT_ONCE = 150;

    private static String wholeList() {
        return wholeList(1, i -> 1);
    }

    /** Returns a list of caches that no list with another version has. */
    private static String wholeList(int version, IntToDoubleFunction sizeOfCache) {
        String[] targets = new String[CACHES];
        for (int i = 0; i < CACHES; i++) {
            String uid = "s-" + version + "-" + i;
            String address = "127." + (1 + i / 200) + "." + (1 + i % 200) + "." + version + ":9";
            double size = sizeOfCache.applyAsDouble(i);
            targets[i] = endpointJson(uid, address, "cache", "Ready", size);
        }
        return endpointListJson(version, true, targets);
    }

    private static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void beginWatch(Socket socket) throws IOException {
        readMessage(socket);
        socket.getOutputStream()
                .write(
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                .getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Guards against the end of the process as a watch over 3,200 cache nodes is opened anew. */
    @Test
    void aWholeListOfTheLargestFleetFitsIntoASmallHeap() throws Exception {
        AtomicInteger listsSent = new AtomicInteger();
        String list = wholeList();
        discovery =
                new StubServer(request -> "") {
                    @Override
                    Void serve(Socket socket) throws IOException, InterruptedException {
                        beginWatch(socket);
                        socket.getOutputStream().write(chunk(list + "\n"));
                        if (listsSent.incrementAndGet() < WHOLE_LISTS) {
                            Thread.sleep(300);
                            socket.close();
                        }
                        return null;
                    }
                };
        config(list, discovery.address());

        Process process = startProcessAfter(SMALL_HEAP);
        int listeningPort = portFromLog(logOf(process));
        waitUntil(() -> listsSent.get() == WHOLE_LISTS || !process.isAlive());
        Thread.sleep(300);

        assertTrue(process.isAlive(), "the process has ended");
        try (Socket client = new Socket("127.0.0.1", listeningPort)) {
            send(client, "GET /-/ready", "", "");
            assertEquals(200, statusCode(readMessage(client)));
        }
    }

    /** Guards against the end of the process as a list changes before 3,200 nodes of size 4. */
    @Test
    void listsOfTheLargestNodesThatReplaceAllOfThemFitIntoTheHeap() throws Exception {
        sendListsInARow(version -> i -> LARGEST_SIZE);
    }

    /** Guards against the end of the process as the sizes in a list change with each list. */
    @Test
    void listsOfMixedSizesThatReplaceAllNodesFitIntoTheHeap() throws Exception {
        sendListsInARow(version -> i -> MIXED_SIZES[(i + version) % MIXED_SIZES.length]);
    }

    /**
     * Sends lists one after the other, each as soon as the one before is read, and checks that the
     * process holds all of them: a last list leads to a cache that it sends a request to.
     */
    private void sendListsInARow(IntFunction<IntToDoubleFunction> sizesOfList) throws Exception {
        CountDownLatch end = new CountDownLatch(1);
        closeables.add(end::countDown);
        cache = new StubServer(request -> HIT);
        String lastList =
                endpointListJson(
                        LISTS_IN_A_ROW,
                        true,
                        endpointJson("last", cache.address(), "cache", "Ready"));
        discovery =
                new StubServer(request -> "") {
                    @Override
                    Void serve(Socket socket) throws IOException, InterruptedException {
                        beginWatch(socket);
                        OutputStream out = socket.getOutputStream();
                        for (int version = 1; version < LISTS_IN_A_ROW; version++) {
                            String list = wholeList(version, sizesOfList.apply(version));
                            out.write(chunk(list + "\n"));
                        }
                        out.write(chunk(lastList + "\n"));
                        end.await();
                        return null;
                    }
                };
        config(wholeList(0, sizesOfList.apply(0)), discovery.address());

        Process process = startProcessAfter(HEAP_WITHOUT_CONNECTIONS);
        int listeningPort = portFromLog(logOf(process));

        waitUntil(() -> !process.isAlive() || isAnsweredByCache(listeningPort));
        assertTrue(process.isAlive(), "the process has ended");
    }

    private boolean isAnsweredByCache(int listeningPort) throws IOException {
        try (Socket client = new Socket("127.0.0.1", listeningPort)) {
            send(client, "GET /view/k", ttlHeader(200), "");
            readMessage(client);
        } catch (SocketException e) {
            return false;
        }
        return !cache.requests.isEmpty();
    }

    /** Guards against lists that fill the heap because they arrive faster than they are applied. */
    @Test
    void discoveryIsReadNoFasterThanItsListsAreApplied() throws Exception {
        CountDownLatch resume = new CountDownLatch(1);
        closeables.add(resume::countDown);
        AtomicInteger listsSent = new AtomicInteger();
        String list = wholeList();
        clock =
                new TickClock() {
                    @Override
                    long now() {
                        boolean isCoordinator =
                                Thread.currentThread()
                                        .getName()
                                        .equals(ProxyServer.OWNER_THREAD_NAME);
                        if (isCoordinator && listsSent.get() > 0) {
                            awaitUninterrupted(resume);
                        }
                        return super.now();
                    }
                };
        CountDownLatch ready = new CountDownLatch(1);
        discovery =
                new StubServer(request -> "") {
                    @Override
                    Void serve(Socket socket) throws IOException, InterruptedException {
                        beginWatch(socket);
                        OutputStream out = socket.getOutputStream();
                        out.write(chunk(EMPTY_UPDATE.substring("200 OK||".length())));
                        ready.await();
                        for (int i = 0; i < LISTS_AT_ONCE; i++) {
                            listsSent.incrementAndGet();
                            out.write(chunk(list + "\n"));
                        }
                        return null;
                    }
                };
        proxy = startServer("{}");

        ready.countDown();
        int sentBefore = -1;
        while (sentBefore < listsSent.get()) {
            sentBefore = listsSent.get();
            Thread.sleep(500);
        }
        assertTrue(sentBefore < LISTS_AT_ONCE, "all lists were read");
        resume.countDown();
        waitUntil(() -> listsSent.get() == LISTS_AT_ONCE);
    }
}
