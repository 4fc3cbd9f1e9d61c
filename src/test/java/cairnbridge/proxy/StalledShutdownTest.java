package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.TimeBudget;
import java.io.BufferedReader;
import java.net.InetAddress;
import java.net.Socket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Shutdowns of a process that is stalled as it receives the signal, or while it shuts down. */
@Timeout(60)
class StalledShutdownTest extends ProxyTestSupport {
    /**
     * Guards against counting the time of a shutdown from its begin: a process that is stalled as
     * it is told to end has only the rest of the time until SIGKILL.
     */
    @ParameterizedTest
    @ValueSource(longs = {800, 1000, 1300})
    void aShutdownThatAStallDelaysClosesConnectionsBeforeTheKill(long stallMillis)
            throws Exception {
        start();
        Process process = startProcess();
        int port = portFromLog(logOf(process));
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        closeables.add(client);
        send(client, "GET /view/1", ttlHeader(60_000), "");
        assertEquals(200, statusCode(readMessage(client)));

        sendSignal(process, "STOP");
        long signalNanos = SignalSender.terminate(process);
        Thread.sleep(stallMillis);
        sendSignal(process, "CONT");

        String answer;
        do {
            send(client, "GET /view/1", ttlHeader(60_000), "");
            answer = readMessage(client);
            assertNotNull(answer, "closed with no answer");
        } while (!answer.contains("Connection: close"));
        long millis = (System.nanoTime() - signalNanos) / 1_000_000;
        assertTrue(millis <= 1000 + TimeBudget.KILL_MARGIN_MILLIS, "closed after " + millis);
        client.close();
        process.waitFor();
    }

    /** Guards against a shutdown that a stall delays although it has begun in time. */
    @Test
    void aStallDuringAShutdownDoesNotKeepIdleConnectionsOpenUntilTheKill() throws Exception {
        start();
        Process process = startProcess();
        BufferedReader log = logOf(process);
        int port = portFromLog(log);
        Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
        closeables.add(client);
        send(client, "GET /view/1", ttlHeader(1000), "");
        assertEquals(200, statusCode(readMessage(client)));

        long signalNanos = SignalSender.terminate(process);
        awaitLogLine(log, "drains");
        sendSignal(process, "STOP");
        Thread.sleep(1550 - (System.nanoTime() - signalNanos) / 1_000_000);
        sendSignal(process, "CONT");

        assertEquals(-1, client.getInputStream().read());
        long millis = (System.nanoTime() - signalNanos) / 1_000_000;
        assertTrue(millis <= 1000 + TimeBudget.KILL_MARGIN_MILLIS, "closed after " + millis);
        process.waitFor();
    }
}
