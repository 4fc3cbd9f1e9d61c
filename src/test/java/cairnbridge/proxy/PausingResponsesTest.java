package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses of unknown length whose server pauses before it sends the rest. */
class PausingResponsesTest extends ProxyTestSupport {
    private static final String CHUNKED = "chunked";
    private static final int TTL_MILLIS = 400;
    private static final int PAUSE_MILLIS = TTL_MILLIS + 250;

    /** The platform counts a short response as lost that has no end by then. */
    private static final int LOST_AFTER_MILLIS = TTL_MILLIS + 550;

    private static final int LONG_BYTES = 180_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** Makes a server send the beginning of a body, and the rest after a pause. */
    private String answerInTwoParts(
            StubServer server, String framing, int firstBytes, int pauseMillis, int totalBytes) {
        Socket connection = server.connections.get(server.connections.size() - 1);
        daemon(
                () -> {
                    writePart(connection, framing, firstBytes);
                    Thread.sleep(pauseMillis);
                    writePart(connection, framing, totalBytes - firstBytes);
                    if (framing.equals(CHUNKED)) {
                        connection.getOutputStream().write("0\r\n\r\n".getBytes());
                    } else {
                        connection.shutdownOutput();
                    }
                    return null;
                });
        return "HTTP/1.1 200 OK;X-Store: hit;"
                + (framing.equals(CHUNKED) ? "Transfer-Encoding: chunked" : "Connection: close")
                + ";;";
    }

    private static void writePart(Socket connection, String framing, int bytes)
            throws IOException, InterruptedException {
        Thread.sleep(20); // Lets the head go first.
        if (bytes == 0) {
            return;
        }
        String part = "x".repeat(bytes);
        String text =
                framing.equals(CHUNKED)
                        ? Integer.toHexString(bytes) + "\r\n" + part + "\r\n"
                        : part;
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    private static int chunkedBytes(String response) {
        return bodyOf(response).replaceAll("(^|\r\n)[0-9a-f]+\r\n(\r\n)?", "").length();
    }

    /** Guards against a long response that is refused because its server pauses past its TTL. */
    @ParameterizedTest
    @CsvSource({
        "chunked, 0",
        "chunked, 1000",
        "chunked, 60000",
        "close, 0",
        "close, 1000",
        "close, 60000"
    })
    void aLongResponseThatPausesPastItsTtlIsNotRefused(String framing, int firstBytes)
            throws Exception {
        cacheHandler =
                request -> answerInTwoParts(cache, framing, firstBytes, PAUSE_MILLIS, LONG_BYTES);
        start();

        String response = sendRequest("GET /view/1", ttlHeader(TTL_MILLIS), "");

        assertEquals(200, statusCode(response));
        assertEquals(LONG_BYTES, chunkedBytes(response));
        assertEquals(1, cache.requests.size());
    }

    /** Guards against a long response that is broken off because its server pauses for long. */
    @Test
    void aLongResponseThatPausesLongPastItsTtlIsNotBrokenOff() throws Exception {
        cacheHandler =
                request -> answerInTwoParts(cache, CHUNKED, 1000, 3 * TTL_MILLIS, LONG_BYTES);
        start();

        String response = sendRequest("GET /view/1", ttlHeader(TTL_MILLIS), "");

        assertEquals(LONG_BYTES, chunkedBytes(response));
    }

    /**
     * Guards against an at-most-once request whose pausing answer is cut off or asked for twice.
     */
    @Test
    void aPausingAnswerToAnAtMostOnceRequestIsPassedOnAndItsRequestSentOnce() throws Exception {
        originHandler =
                request -> answerInTwoParts(origin, CHUNKED, 1000, PAUSE_MILLIS, LONG_BYTES);
        start();

        String response = sendRequest("PUT /loan/1", ttlHeader(TTL_MILLIS), "value");

        assertEquals(200, statusCode(response));
        assertEquals(LONG_BYTES, chunkedBytes(response));
        assertEquals(1, origin.requests.size());
    }

    /**
     * Guards against the beginning of a long response that is held back while its server pauses.
     */
    @ParameterizedTest
    @ValueSource(strings = {"chunked", "close"})
    void theFirstPartOfAPausingResponseIsNotHeldBackForTwoSeconds(String framing) throws Exception {
        cacheHandler = request -> answerInTwoParts(cache, framing, 1000, 2600, LONG_BYTES);
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(2900), "");
        long sentNanos = System.nanoTime();

        readHead(new BufferedInputStream(client.getInputStream()));

        long millis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        assertTrue(millis < 1500, "begun after " + millis);
    }

    /** Guards against a request without a final answer whose server stops within a response. */
    @ParameterizedTest
    @CsvSource({"chunked, 0", "chunked, 460", "close, 0", "close, 460"})
    void aResponseThatStopsIsEndedSoonAfterItsDeadline(String framing, int firstBytes)
            throws Exception {
        cacheHandler = request -> answerInTwoParts(cache, framing, firstBytes, 9000, 9000);
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(TTL_MILLIS), "");
        long sentNanos = System.nanoTime();

        assertThrows(IOException.class, () -> readWholeSuccess(client));

        long millis = (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
        assertTrue(millis <= LOST_AFTER_MILLIS, "ended after " + millis);
    }

    private static void readWholeSuccess(Socket client) throws IOException {
        String response = readMessage(client);
        if (response == null || statusCode(response) != 200) {
            throw new IOException("no whole response");
        }
    }

    /** Guards against hedged requests that are given up because a server has sent a head. */
    @Test
    void aHedgedRequestIsAnsweredWhoseFirstServerStopsWithinItsResponse() throws Exception {
        hedging = "true";
        StubServer second = new StubServer(request -> HIT);
        cacheHandler = request -> answerInTwoParts(cache, CHUNKED, 460, 9000, 9000);
        start(endpointJson("d", second.address(), "cache", "Ready"));
        int waitedForHedge = 0;
        for (int i = 0; i < 8; i++) {
            String headers = "X-Trace-Id: " + i + "\r\nX-Expires-In: 900m\r\n";
            int before = cache.requests.size();
            assertEquals(200, statusCode(sendRequest("GET /view/" + i, headers, "")));
            waitedForHedge += cache.requests.size() - before;
        }
        assertTrue(waitedForHedge > 0, "no request reached the server that stops");
    }

    private static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("no whole head");
            }
            bytes.write(next);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }
}
