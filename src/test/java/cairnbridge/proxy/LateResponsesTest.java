package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Responses that have begun in time and are not complete at their deadline. */
class LateResponsesTest extends ProxyTestSupport {
    private static final int TTL_MILLIS = 300;

    /** The platform counts a response as lost that is neither complete nor broken off by then. */
    private static final int LOST_AFTER_MILLIS = TTL_MILLIS + 550;

    private static final int PIECE_MILLIS = 50;

    /** Makes the cache answer in chunks of this size, so many of them, after its first chunk. */
    private void answerInPieces(int pieceBytes, int pieces) {
        cacheHandler =
                request -> {
                    daemon(() -> writePieces(cache.connections.get(0), pieceBytes, pieces));
                    return "HTTP/1.1 200 OK;X-Store: hit;Transfer-Encoding: chunked;;1;x;";
                };
    }

    private static Void writePieces(Socket connection, int pieceBytes, int pieces)
            throws IOException, InterruptedException {
        String chunk = Integer.toHexString(pieceBytes) + "\r\n" + "x".repeat(pieceBytes) + "\r\n";
        for (int i = 0; i < pieces; i++) {
            Thread.sleep(PIECE_MILLIS);
            connection.getOutputStream().write(chunk.getBytes(StandardCharsets.US_ASCII));
        }
        connection.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        return null;
    }

    /** Guards against a request without a final answer because its response never ends. */
    @Test
    void aShortResponseThatDoesNotEndIsBrokenOffSoonAfterItsDeadline() throws Exception {
        answerInPieces(9, 3000 / PIECE_MILLIS);
        start();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(TTL_MILLIS), "");
        long sentNanos = System.nanoTime();

        assertThrows(IOException.class, () -> readToEnd(client));

        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
        assertTrue(millis >= TTL_MILLIS, "broken off after " + millis);
        assertTrue(millis <= LOST_AFTER_MILLIS, "broken off after " + millis);
    }

    private static void readToEnd(Socket client) throws IOException {
        assertEquals(null, readMessage(client), "the response looks whole");
        throw new IOException("the connection has ended");
    }

    /** Guards against a long response of unknown length that is cut off at its deadline. */
    @Test
    void aLongResponseThatArrivesSlowlyIsNotBrokenOff() throws Exception {
        assertIsReceivedWhole(1000, 70);
    }

    /** Guards against a long response that is cut off as its server writes only 10 kB a second. */
    @Test
    void aLongResponseThatArrivesVerySlowlyIsNotBrokenOff() throws Exception {
        assertIsReceivedWhole(500, 140);
    }

    private void assertIsReceivedWhole(int pieceBytes, int pieces) throws Exception {
        answerInPieces(pieceBytes, pieces);
        start();
        String response = sendRequest("GET /view/1", ttlHeader(TTL_MILLIS), "");
        String body = bodyOf(response).replaceAll("(^|\r\n)[0-9a-f]+\r\n(\r\n)?", "");
        assertEquals(1 + pieceBytes * pieces, body.length());
    }
}
