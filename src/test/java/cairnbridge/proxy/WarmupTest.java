package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** What is left of the warm-up once the proxy is ready. */
class WarmupTest extends ProxyTestSupport {
    /** Well under the time after which idle connections are closed anyway. */
    private static final long CLOSED_WITHIN_MILLIS = 1000;

    /** Guards against clients whose connections end early, as the warm-up's count among theirs. */
    @Test
    void warmUpConnectionsAreClosedOnceTheProxyIsReady() throws Exception {
        start();
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSED_WITHIN_MILLIS);
        int left = proxy.openDescriptors();
        while (left > 1 && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
            left = proxy.openDescriptors();
        }

        assertTrue(left <= 1, "beside the watch " + left + " are open");
    }
}
