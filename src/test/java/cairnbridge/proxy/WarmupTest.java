package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Connections that the warm-up leaves open. */
class WarmupTest extends ProxyTestSupport {
    /** Well below the idle timeout of client connections, which would close them anyway. */
    private static final long CLOSED_WITHIN_MILLIS = 1000;

    /**
     * Guards against client connections that are closed early because the warm-up's connections
     * count against the same limit.
     */
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

        assertTrue(
                left <= 1,
                "expected the discovery watch alone, but " + left + " descriptors are open");
    }
}
