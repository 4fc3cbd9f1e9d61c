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

/** A new configuration counts in time, however the process was started. */
class ReloadTest extends Stories {
    private static final int READS = 20;

    /**
     * Guards against a process that was started with SIGHUP ignored, as below nohup, and never
     * hears of a new configuration: it kept watching discovery's old address, and went on sending
     * to nodes that drained.
     */
    @ParameterizedTest
    @ValueSource(strings = {"trap '' HUP", "trap - HUP"})
    void aNodeThatDrainsByTheNewDiscoveryGetsNothingAfterAReload(String inherited)
            throws Exception {
        start();
        StandIn draining = new StandIn(request -> HIT);
        String before =
                list(
                        1,
                        true,
                        target("d", draining.address(), "cache", "Ready"),
                        target("o", origin.address(), "origin", "Ready"));
        String after =
                list(
                        1,
                        true,
                        target("c", cache.address(), "cache", "Ready"),
                        target("d", draining.address(), "cache", "Terminating"),
                        target("o", origin.address(), "origin", "Ready"));
        StandIn moved = new StandIn(request -> "200 OK||" + after + "\n");
        config(before, discovery.address());
        Process process = processAfter(inherited);
        BufferedReader log = log(process);
        int port = port(log);
        assertEquals(200, read(port));
        assertEquals(1, draining.seen.size());

        config(before, moved.address());
        signal(process, "HUP");
        long reloaded = System.nanoTime();
        until(() -> !moved.seen.isEmpty());
        until(() -> read(port) == 200 && !cache.seen.isEmpty());
        long millis = (System.nanoTime() - reloaded) / 1_000_000;
        assertTrue(millis <= TimeBudget.RELOAD_NOTIFIED_MILLIS, "in force after " + millis + " ms");
        int sent = draining.seen.size();
        for (int i = 0; i < READS; i++) {
            assertEquals(200, read(port));
        }
        assertEquals(sent, draining.seen.size());
    }

    private int read(int port) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            send(client, "GET /view/1", ttl(800), "");
            return code(message(client));
        }
    }
}
