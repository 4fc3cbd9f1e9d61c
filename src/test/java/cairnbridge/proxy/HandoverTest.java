package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Three processes at one address, one after the other: the first hands over to the second, which
 * goes on serving while the third starts. Guards against a diversion that outlasts its handover.
 */
@Timeout(60)
class HandoverTest extends ProxyTestSupport {
    private static final int CONNECTIONS = 40;
    private static final int RESPONSE_WAIT_MILLIS = 2000;
    private static final int SHARING_WAIT_MILLIS = 5000;
    private static final String SHARED_AGAIN = "new connections are shared by all processes again";

    private Process staying;
    private Process newest;

    @BeforeEach
    void handOverAndStartAnother() throws Exception {
        cache = new StubServer(request -> HIT);
        discovery = new StubServer(request -> HEARTBEATS_ONLY);
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        config(
                endpointListJson(1, true, endpointJson("c", cache.address(), "cache", "Ready")),
                discovery.address());
        Process oldest = startProcess();
        portFromLog(logOf(oldest));
        staying = startProcess();
        BufferedReader stayingLog = logOf(staying);
        portFromLog(stayingLog);
        endOldest(oldest);
        awaitSharing(stayingLog);
        newest = startProcess();
        portFromLog(logOf(newest));
    }

    private static void endOldest(Process oldest) throws Exception {
        BufferedReader log = logOf(oldest);
        sendSignal(oldest, "TERM");
        awaitLogLine(log, "new connections are diverted to another process");
        oldest.waitFor();
    }

    /** Waits for the end of the diversion, for a limited time: a fault may keep it from ending. */
    private static void awaitSharing(BufferedReader log) throws InterruptedException {
        Thread reader =
                daemon(
                        () -> {
                            awaitLogLine(log, SHARED_AGAIN);
                            return null;
                        });
        reader.join(SHARING_WAIT_MILLIS);
    }

    /** Opens connections, sends a request on each, and returns the number of responses. */
    private int countResponses() throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
            closeables.add(client);
            send(client, "GET /-/ready", "", "");
            clients.add(client);
        }
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_WAIT_MILLIS);
        waitUntil(
                () ->
                        countReadable(clients) == CONNECTIONS
                                || System.nanoTime() - deadlineNanos > 0);
        return countReadable(clients);
    }

    private static int countReadable(List<Socket> clients) throws IOException {
        int count = 0;
        for (Socket client : clients) {
            if (client.getInputStream().available() > 0) {
                count++;
            }
        }
        return count;
    }

    @Test
    void theProcessThatStaysServesWhileTheNewestStandsStill() throws Exception {
        sendSignal(newest, "STOP");
        try {
            assertTrue(countResponses() > 0);
        } finally {
            sendSignal(newest, "CONT");
        }
    }

    @Test
    void theNewestServesWhileTheProcessThatStaysStandsStill() throws Exception {
        sendSignal(staying, "STOP");
        try {
            assertTrue(countResponses() > 0);
        } finally {
            sendSignal(staying, "CONT");
        }
    }

    @Test
    void allConnectionsAreServedOnceTheNewestHasCrashed() throws Exception {
        newest.destroyForcibly().waitFor();

        assertEquals(CONNECTIONS, countResponses());
    }

    @Test
    void allConnectionsAreServedByTheNewestOnceTheProcessThatStaysHasCrashed() throws Exception {
        staying.destroyForcibly().waitFor();

        assertEquals(CONNECTIONS, countResponses());
    }
}
