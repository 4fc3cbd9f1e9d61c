package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.TimeBudget;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A new configuration takes effect in time, also in a process that inherited an ignored SIGHUP. */
class ReloadTest extends ProxyTestSupport {
    private static final int READS = 20;

    /**
     * Guards against a process started with SIGHUP ignored, for example by nohup, that never
     * reloads its configuration: it kept watching discovery's old address and went on sending
     * requests to draining nodes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"trap '' HUP", "trap - HUP"})
    void aNodeThatDrainsInTheNewDiscoveryListGetsNoRequestsAfterAReload(String inherited)
            throws Exception {
        start();
        StubServer draining = new StubServer(request -> HIT);
        String before =
                endpointListJson(
                        1,
                        true,
                        endpointJson("d", draining.address(), "cache", "Ready"),
                        endpointJson("o", origin.address(), "origin", "Ready"));
        String after =
                endpointListJson(
                        1,
                        true,
                        endpointJson("c", cache.address(), "cache", "Ready"),
                        endpointJson("d", draining.address(), "cache", "Terminating"),
                        endpointJson("o", origin.address(), "origin", "Ready"));
        StubServer moved = new StubServer(request -> "200 OK||" + after + "\n");
        config(before, discovery.address());
        Process process = startProcessAfter(inherited);
        BufferedReader log = logOf(process);
        int port = portFromLog(log);
        assertEquals(200, readStatus(port));
        assertEquals(1, draining.requests.size());

        config(before, moved.address());
        sendSignal(process, "HUP");
        long signalSentNanos = System.nanoTime();
        waitUntil(() -> !moved.requests.isEmpty());
        waitUntil(() -> readStatus(port) == 200 && !cache.requests.isEmpty());
        long millis = (System.nanoTime() - signalSentNanos) / 1_000_000;
        assertTrue(millis <= TimeBudget.RELOAD_LIMIT_MILLIS, "in effect after " + millis + " ms");
        int sent = draining.requests.size();
        for (int i = 0; i < READS; i++) {
            assertEquals(200, readStatus(port));
        }
        assertEquals(sent, draining.requests.size());
    }

    private int readStatus(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            send(client, "GET /view/1", ttlHeader(800), "");
            return statusCode(readMessage(client));
        }
    }
}
