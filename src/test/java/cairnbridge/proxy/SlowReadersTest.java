package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import org.junit.jupiter.api.Test;

/** Clients that have not read their whole response when the proxy closes their connection. */
class SlowReadersTest extends ProxyTestSupport {
    /** What the systems of proxy and client take together, however slowly the client reads. */
    private static final int RESPONSE_BYTES = 1_000_000;

    /** What the client reads first, to know that the response has begun. */
    private static final int FIRST_BYTES = 10;

    /**
     * Guards against a reset that discards the rest of a response, which its client still reads.
     */
    @Test
    void aSlowReaderGetsTheRestOfItsResponseAfterTheProxyHasClosed() throws Exception {
        cacheHandler = request -> "200 OK|X-Store: hit|" + "x".repeat(RESPONSE_BYTES);
        start();
        int descriptorsBefore = proxy.openDescriptors();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(900) + "Connection: close\r\n", "");
        client.getInputStream().readNBytes(FIRST_BYTES);
        // One connection to the cache is kept open.
        waitUntil(() -> proxy.openDescriptors() <= descriptorsBefore + 1);

        assertEquals(RESPONSE_BYTES, countBody(client));
    }

    private static int countBody(Socket client) throws IOException {
        byte[] rest;
        try {
            rest = client.getInputStream().readAllBytes();
        } catch (SocketException e) {
            return -1; // The connection was reset.
        }
        int count = 0;
        for (byte b : rest) {
            count += b == 'x' ? 1 : 0;
        }
        return count;
    }
}
