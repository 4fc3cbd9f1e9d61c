package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send small requests without waiting for their responses. */
class RequestFloodTest extends ProxyTestSupport {
    private static final int REQUESTS_PER_WRITE = 200;
    private static final int MAX_WRITES = 3000;
    private static final int CHUNK_CLIENTS = 20;
    private static final int CHUNKS = 200_000;
    private static final int TTL_MILLIS = 400;
    private static final int LOST_AFTER_MILLIS = TTL_MILLIS + 550;

    /** Guards against a flood that keeps the reactor from all others and fills the heap. */
    @ParameterizedTest
    @ValueSource(strings = {"/-/ready", "/-/unknown", "http://app.svc/-/ready"})
    void aClientThatSendsRequestsWithoutWaitingDoesNotDelayOthers(String target) throws Exception {
        start();
        CountDownLatch flooding = new CountDownLatch(1);
        Socket bad = connectClient();
        Thread flood = daemon(() -> flood(bad, target, flooding));
        daemon(() -> bad.getInputStream().readAllBytes());
        assertTrue(flooding.await(10, TimeUnit.SECONDS));

        Socket client = connectClient();
        client.setSoTimeout(8000);
        send(client, "GET /view/1", ttlHeader(TTL_MILLIS), "");
        long sentNanos = System.nanoTime();
        int status = statusCode(readMessage(client));
        long millis = (System.nanoTime() - sentNanos) / 1_000_000;

        assertEquals(200, status);
        assertTrue(millis <= LOST_AFTER_MILLIS, "answered after " + millis);
        flood.join(10_000);
        assertTrue(!flood.isAlive(), "the flood goes on");
    }

    /** Guards against a few costly bodies that keep the reactor from all other clients. */
    @Test
    void clientsThatSendBodiesInChunksOfAByteDoNotDelayOthers() throws Exception {
        start();
        byte[] chunks = "1\r\nx\r\n".repeat(CHUNKS).getBytes(StandardCharsets.US_ASCII);
        CountDownLatch flooding = new CountDownLatch(CHUNK_CLIENTS);
        for (int i = 0; i < CHUNK_CLIENTS; i++) {
            Socket bad = connectClient();
            String headers =
                    "X-Trace-Id: chunks-"
                            + i
                            + "\r\nX-Expires-In: 900m\r\nTransfer-Encoding: chunked\r\n";
            daemon(
                    () -> {
                        send(bad, "PUT /loan/1", headers, "");
                        flooding.countDown();
                        bad.getOutputStream().write(chunks);
                        return null;
                    });
        }
        assertTrue(flooding.await(10, TimeUnit.SECONDS));
        for (int i = 0; i < 10; i++) {
            long sentNanos = System.nanoTime();
            assertEquals(200, statusCode(sendRequest("GET /view/1", ttlHeader(TTL_MILLIS), "")));
            long millis = (System.nanoTime() - sentNanos) / 1_000_000;
            assertTrue(millis <= LOST_AFTER_MILLIS, "answered after " + millis);
        }
    }

    private static Void flood(Socket client, String target, CountDownLatch flooding)
            throws IOException {
        String request = "GET " + target + " HTTP/1.1\r\nHost: app.svc\r\n\r\n";
        byte[] bytes = request.repeat(REQUESTS_PER_WRITE).getBytes(StandardCharsets.US_ASCII);
        for (int i = 0; i < MAX_WRITES; i++) {
            client.getOutputStream().write(bytes);
            flooding.countDown();
        }
        return null;
    }
}
