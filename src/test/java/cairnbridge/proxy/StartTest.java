package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Processes started at the same time on one machine are ready in time, whatever the state of
 * discovery.
 */
class StartTest extends ProxyTestSupport {
    private static final int PROCESSES = 10;
    private static final int REQUIRED_READY = 9;
    private static final long READY_NANOS = 10_000_000_000L;

    @ParameterizedTest
    @ValueSource(strings = {"up", "refused", "hung", "returning"})
    void nineOfTenProcessesAreReadyWithinTenSeconds(String discoveryState) throws Exception {
        AtomicInteger calls = new AtomicInteger();
        discoveryHandler =
                request ->
                        switch (discoveryState) {
                            case "hung" -> SILENT;
                            case "returning" ->
                                    calls.incrementAndGet() <= 3 * PROCESSES
                                            ? RESET_CONNECTION
                                            : HEARTBEATS_ONLY;
                            default -> HEARTBEATS_ONLY;
                        };
        start();
        if (discoveryState.equals("refused")) {
            discovery.close();
        }
        config(
                endpointListJson(
                        1,
                        true,
                        endpointJson("c", cache.address(), "cache", "Ready"),
                        endpointJson("o", origin.address(), "origin", "Ready")),
                discovery.address());
        long startNanos = System.nanoTime();
        List<Thread> watchers = new ArrayList<>();
        AtomicInteger ready = new AtomicInteger();
        for (int i = 0; i < PROCESSES; i++) {
            Process process = startProcess();
            watchers.add(
                    daemon(
                            () -> {
                                portFromLog(logOf(process));
                                if (System.nanoTime() - startNanos <= READY_NANOS) {
                                    ready.incrementAndGet();
                                }
                                return null;
                            }));
        }
        for (Thread each : watchers) {
            each.join(Math.max(1, (READY_NANOS - (System.nanoTime() - startNanos)) / 1_000_000));
        }
        assertTrue(
                ready.get() >= REQUIRED_READY, ready + " of " + PROCESSES + " were ready in 10 s");
    }
}
