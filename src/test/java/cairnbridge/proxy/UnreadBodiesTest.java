package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Long request bodies that their clients have sent and the proxy cannot read yet. */
class UnreadBodiesTest extends ProxyTestSupport {
    private static final int TTL_MILLIS = 400;

    /** The platform counts a request as lost that is answered later than this. */
    private static final int LOST_AFTER_MILLIS = TTL_MILLIS + 550;

    /** More than the systems of proxy and server take of it, and less than those of all three. */
    private static final int BODY_BYTES = 6_000_000;

    private final CountDownLatch testEnded = new CountDownLatch(1);

    /** An origin that reads nothing but the beginning of each request. */
    private final class StuckServer extends StubServer {
        StuckServer() throws IOException {
            super(request -> SILENT);
        }

        @Override
        Void serve(Socket socket) throws IOException, InterruptedException {
            requests.add(new String(socket.getInputStream().readNBytes(500)));
            testEnded.await();
            return null;
        }
    }

    private void startBeforeStuckOrigin() throws Exception {
        start();
        StuckServer stuck = new StuckServer();
        origin = stuck;
        proxy =
                startServer(
                        endpointListJson(
                                1,
                                true,
                                endpointJson("c", cache.address(), "cache", "Ready"),
                                endpointJson("o", stuck.address(), "origin", "Ready")));
    }

    private static String head(String traceId, int ttlMillis, String framing) {
        return "PUT /loan/1 HTTP/1.1\r\nX-Trace-Id: %s\r\nX-Expires-In: %dm\r\n%s\r\n\r\n"
                .formatted(traceId, ttlMillis, framing);
    }

    /**
     * Guards against a deadline that counts from the read of a body that has waited in a socket.
     */
    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 6000000", "Transfer-Encoding: chunked"})
    void aRequestIsAnsweredInTimeWhoseServerDoesNotReadTheBody(String framing) throws Exception {
        startBeforeStuckOrigin();
        Socket client = connectClient();
        client.setSoTimeout(10_000);
        client.getOutputStream()
                .write(head("a", TTL_MILLIS, framing).getBytes(StandardCharsets.US_ASCII));
        client.getOutputStream()
                .write(framing.endsWith("chunked") ? chunkedBody() : new byte[BODY_BYTES]);
        long sentNanos = System.nanoTime();

        int status = statusCode(readMessage(client));

        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
        testEnded.countDown();
        assertEquals(502, status);
        assertTrue(millis <= LOST_AFTER_MILLIS, "answered after " + millis);
        assertTrue(toldMillis(origin.requests.get(0)) <= TTL_MILLIS, origin.requests.get(0));
    }

    /** Guards against ending a request whose client rests after a part that has filled a pipe. */
    @ParameterizedTest
    @ValueSource(ints = {70_000, 131_072, 200_000})
    void aClientThatRestsBetweenLargePartsIsServedAfterItsLastByte(int partBytes) throws Exception {
        start();
        Socket client = connectClient();
        int parts = 3;
        client.getOutputStream()
                .write(
                        head("e", 150, "Content-Length: " + partBytes * parts)
                                .getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < parts; i++) {
            client.getOutputStream().write(new byte[partBytes]);
            Thread.sleep(i < parts - 1 ? 600 : 0);
        }
        assertEquals(200, statusCode(readMessage(client)));
    }

    /** Guards against a client without an answer that waits for a server which has stopped. */
    @Test
    void aBodyLongerThanTheSystemsHoldIsAnsweredWhoseServerDoesNotReadIt() throws Exception {
        startBeforeStuckOrigin();
        Socket client = connectClient();
        client.setSoTimeout(10_000);
        long startNanos = System.nanoTime();
        daemon(
                () -> {
                    String head = head("d", TTL_MILLIS, "Content-Length: " + 5 * BODY_BYTES);
                    client.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                    client.getOutputStream().write(new byte[5 * BODY_BYTES]);
                    return null;
                });

        int status = statusCode(readMessage(client));

        long millis = (System.nanoTime() - startNanos) / 1_000_000;
        testEnded.countDown();
        assertEquals(502, status);
        assertTrue(millis <= 2 * TTL_MILLIS + LOST_AFTER_MILLIS, "answered after " + millis);
    }

    private static byte[] chunkedBody() {
        String size = Integer.toHexString(BODY_BYTES);
        return (size + "\r\n" + "x".repeat(BODY_BYTES) + "\r\n0\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
    }

    private static double toldMillis(String request) {
        String value = request.replaceAll("(?s).*X-Expires-In: ([0-9]+)u.*", "$1");
        return Double.parseDouble(value) / 1000;
    }

    /** Guards against rejecting a client that needs longer than its TTL to send a long body. */
    @Test
    void aClientThatSendsSlowlyIsServedAfterItsLastByte() throws Exception {
        start();
        Socket client = connectClient();
        int pieceBytes = 20_000;
        int pieces = 12;
        client.getOutputStream()
                .write(
                        head("b", 150, "Content-Length: " + pieceBytes * pieces)
                                .getBytes(StandardCharsets.US_ASCII));
        for (int i = 0; i < pieces; i++) {
            Thread.sleep(50);
            client.getOutputStream().write(new byte[pieceBytes]);
        }
        InputStream in = client.getInputStream();
        assertEquals(200, statusCode(readMessage(in)));
        assertEquals(1, origin.requests.size());
    }
}
