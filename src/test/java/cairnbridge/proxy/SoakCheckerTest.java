package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.proxy.SoakChecker.Rule;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * {@link SoakChecker} reports an injected violation of each rule, and nothing for a request without
 * one.
 */
@Timeout(20)
class SoakCheckerTest {
    private static final long TTL_MILLIS = 1000;
    private static final long START_NANOS = 5_000_000_000L;

    private final SoakChecker checker = new SoakChecker();

    private static long after(long millis) {
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void send(boolean repeatable, long idleMillis) {
        checker.sent("r", repeatable, TTL_MILLIS, idleMillis, START_NANOS);
    }

    private List<Rule> violatedRules() {
        return checker.violations().stream().map(SoakChecker.Violation::rule).toList();
    }

    @Test
    void aRequestThatBreaksNoRuleIsNotReported() {
        checker.drained("c", after(20));
        send(true, 0);
        checker.attempted("r", "c", TTL_MILLIS, after(10), after(10));
        checker.attempted("r", "o", TTL_MILLIS - 100, after(200), after(200));
        checker.answered("r", after(TTL_MILLIS + SoakChecker.LATE_ANSWER_MILLIS));

        assertEquals(List.of(), violatedRules());
    }

    @Test
    void aLateResponseIsReported() {
        send(true, 0);
        checker.answered("r", after(TTL_MILLIS + SoakChecker.LATE_ANSWER_MILLIS + 1));

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    @Test
    void aRequestWithoutAnOutcomeIsReported() {
        send(true, 0);

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    @Test
    void aCloseWithoutAResponseOnANewConnectionIsReported() {
        send(true, 0);
        checker.closed("r", after(1));

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    @Test
    void aCloseAfterAnAttemptIsReportedEvenOnAnIdleConnection() {
        send(true, SoakChecker.CLOSE_RACE_IDLE_MILLIS);
        checker.attempted("r", "c", TTL_MILLIS, after(1), after(1));
        checker.closed("r", after(2));

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    @Test
    void aCloseThatRacesWithARequestOnAnIdleConnectionIsCountedSeparately() {
        send(true, SoakChecker.CLOSE_RACE_IDLE_MILLIS);
        checker.closed("r", after(SoakChecker.CLOSE_RACE_MILLIS));

        assertEquals(List.of(), violatedRules());
        assertEquals(1, checker.closeRaceCount());
    }

    @Test
    void aLateCloseOfAnIdleConnectionIsReported() {
        send(true, SoakChecker.CLOSE_RACE_IDLE_MILLIS);
        checker.closed("r", after(SoakChecker.CLOSE_RACE_MILLIS + 1));

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    @Test
    void aRepeatedAttemptOfAWriteIsReported() {
        send(false, 0);
        checker.attempted("r", "o", TTL_MILLIS, after(1), after(1));
        checker.attempted("r", "o", TTL_MILLIS, after(2), after(2));
        checker.answered("r", after(3));

        assertEquals(List.of(Rule.DUPLICATE), violatedRules());
    }

    @Test
    void anAttemptAtADrainingNodeIsReported() {
        checker.drained("c", after(0));
        send(true, 0);
        checker.attempted("r", "c", TTL_MILLIS, after(1), after(1));
        checker.answered("r", after(2));

        assertEquals(List.of(Rule.DRAINING), violatedRules());
    }

    @Test
    void anAttemptAfterItsClientDisconnectedIsReported() {
        send(true, 0);
        checker.clientDisconnected("r", after(10));
        checker.attempted(
                "r",
                "c",
                TTL_MILLIS,
                after(10 + SoakChecker.LATE_ATTEMPT_MILLIS + 1),
                after(10 + SoakChecker.LATE_ATTEMPT_MILLIS + 1));

        assertEquals(List.of(Rule.LATE_ATTEMPT), violatedRules());
    }

    /** Guards against reporting the time for which a busy test has not read an attempt. */
    @Test
    void anAttemptThatArrivesInTimeAndIsReadLateIsNotReported() {
        send(true, 0);
        checker.attempted(
                "r", "c", TTL_MILLIS, after(1), after(SoakChecker.DEADLINE_SLACK_MILLIS + 50));
        checker.answered("r", after(SoakChecker.DEADLINE_SLACK_MILLIS + 60));

        assertEquals(List.of(), violatedRules());
    }

    @Test
    void aDeadlineBeyondTheClientsDeadlineIsReported() {
        send(true, 0);
        checker.attempted(
                "r",
                "c",
                TTL_MILLIS,
                after(SoakChecker.DEADLINE_SLACK_MILLIS + 1),
                after(SoakChecker.DEADLINE_SLACK_MILLIS + 1));
        checker.answered("r", after(200));

        assertEquals(List.of(Rule.DEADLINE), violatedRules());
    }

    /**
     * Guards against a soak test that misses requests lost in the accept queue of a listener that
     * closes.
     */
    @Test
    void aListenerClosedWithQueuedConnectionsIsReported() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            SoakClient client = client(listener, () -> true);
            Thread running = new Thread(client);
            running.start();
            ProxyTestSupport.waitUntil(() -> checker.requestCount() == 1);
            listener.close();
            client.stop();
            running.join();
        }

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    /**
     * Guards against a soak test that misses a request that was read and then dropped by a close.
     */
    @Test
    void aConnectionClosedAfterItsRequestWasReadIsReported() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            SoakClient client = client(listener, () -> checker.requestCount() == 0);
            Thread running = new Thread(client);
            running.start();
            readAndClose(listener);
            client.stop();
            running.join();
        }

        assertEquals(List.of(Rule.LOST), violatedRules());
    }

    private SoakClient client(ServerSocket listener, BooleanSupplier mayConnect) {
        return new SoakClient(
                "r",
                checker,
                listener.getLocalPort(),
                SoakClient.Disconnects.NEVER,
                mayConnect,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1));
    }

    private static void readAndClose(ServerSocket listener) throws IOException {
        try (Socket accepted = listener.accept()) {
            ProxyTestSupport.readMessage(accepted);
        }
    }
}
