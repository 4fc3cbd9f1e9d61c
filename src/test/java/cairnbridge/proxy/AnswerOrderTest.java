package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
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
    private static final int TTL_MILLIS = 300;
    private static final Logger TRACE = Logger.getLogger(RequestTrace.class.getName());

    private final CountDownLatch release = new CountDownLatch(1);
    private final Handler holdingHandler = new HoldingHandler();

    /** Holds the reactor's thread after an attempt was permitted, before its bytes are written. */
    private final class HoldingHandler extends Handler {
        @Override
        public void publish(LogRecord line) {
            if (line.getMessage().contains("attempt begun")) {
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
        TRACE.setLevel(Level.FINE);
        TRACE.addHandler(holdingHandler);
        Socket client = connectClient();
        send(client, "GET /view/1", ttlHeader(TTL_MILLIS), "");
        assertEquals(503, statusCode(readMessage(client)));

        release.countDown();

        waitUntil(() -> !cache.requests.isEmpty() || cache.closedConnectionCount.get() > 0);
        assertEquals(List.of(), cache.requests);
    }
}
