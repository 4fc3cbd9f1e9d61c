package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** The order of a request's final answer and of the bytes of its attempts. */
class AnswerOrderTest extends ProxyTestSupport {
    /** Under the time after which a head is too old to be written. */
    private static final int TTL_MILLIS = 80;

    private static final int WARM_UP_REQUESTS = 20;
    private static final Logger TRACE = Logger.getLogger(RequestTrace.class.getName());

    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);
    private final Handler holdingHandler = new HoldingHandler();

    /** Holds the reactor's thread after an attempt was permitted, before its bytes are written. */
    private final class HoldingHandler extends Handler {
        @Override
        public void publish(LogRecord line) {
            if (line.getMessage().contains("attempt begun")) {
                held.countDown();
                awaitUninterrupted(release);
            }
        }

        @Override
        public void flush() {
            // Nothing is buffered.
        }

        @Override
        public void close() {
            // Holds no resources.
        }
    }

    private void holdBeforeWrites() throws IOException {
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            String headers = "X-Trace-Id: " + i + "\r\nX-Expires-In: 900m\r\n";
            assertEquals(200, statusCode(sendRequest("GET /view/" + i, headers, "")));
        }
        cache.requests.clear();
        TRACE.setLevel(Level.FINE);
        TRACE.addHandler(holdingHandler);
    }

    @AfterEach
    void removeHandler() {
        release.countDown();
        TRACE.removeHandler(holdingHandler);
        TRACE.setLevel(null);
    }

    /** Guards against an attempt that was permitted before the answer and is written after it. */
    @Test
    void anAttemptThatWasPermittedIsNotWrittenAfterItsRequestIsAnswered() throws Exception {
        start();
        holdBeforeWrites();
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(TTL_MILLIS), "");
        assertEquals(503, statusCode(readMessage(client)));

        release.countDown();

        waitUntil(() -> !cache.requests.isEmpty() || cache.closedConnectionCount.get() > 0);
        assertEquals(List.of(), cache.requests);
    }

    /** Guards against an attempt that was permitted before its node was taken out of service. */
    @Test
    void anAttemptThatWasPermittedIsNotWrittenAfterItsNodeIsInMaintenance() throws Exception {
        extraConfig = "\"admin_addr\":\"127.0.0.1:0\",";
        start();
        holdBeforeWrites();
        send(connectClient(), "GET /view/1", ttlHeader(4000), "");
        held.await();
        assertEquals("200", callAdmin("maint-on c").substring(0, 3));

        release.countDown();

        waitUntil(() -> !cache.requests.isEmpty() || cache.closedConnectionCount.get() > 0);
        assertEquals(List.of(), cache.requests);
    }

    private String callAdmin(String command) throws IOException {
        InetSocketAddress address = proxy.adminAddress();
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
            byte[] answer = socket.getInputStream().readAllBytes();
            return new String(answer, StandardCharsets.US_ASCII);
        }
    }
}
