package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.proxy.SoakJudge.Rule;
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

/** The soak's judge reports one planted fault for each rule, and nothing where none is planted. */
@Timeout(20)
class SoakJudgeTest {
    private static final long TTL_MILLIS = 1000;
    private static final long START_NANOS = 5_000_000_000L;

    private final SoakJudge judge = new SoakJudge();

    private static long after(long millis) {
        return START_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void send(boolean repeatable, long restedMillis) {
        judge.sent("r", repeatable, TTL_MILLIS, restedMillis, START_NANOS);
    }

    private List<Rule> brokenRules() {
        return judge.violations().stream().map(SoakJudge.Violation::rule).toList();
    }

    @Test
    void aRequestThatKeepsAllRulesIsNotReported() {
        judge.drained("c", after(20));
        send(true, 0);
        judge.attempted("r", "c", TTL_MILLIS, after(10));
        judge.attempted("r", "o", TTL_MILLIS - 100, after(200));
        judge.answered("r", after(TTL_MILLIS + SoakJudge.LATE_ANSWER_MILLIS));

        assertEquals(List.of(), brokenRules());
    }

    @Test
    void anAnswerThatIsHeldBackIsReported() {
        send(true, 0);
        judge.answered("r", after(TTL_MILLIS + SoakJudge.LATE_ANSWER_MILLIS + 1));

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void aRequestWithNoEndIsReported() {
        send(true, 0);

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void aCloseWithNoAnswerIsReportedOnANewConnection() {
        send(true, 0);
        judge.closed("r", after(1));

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void aCloseBehindAnAttemptIsReportedAlsoAfterARest() {
        send(true, SoakJudge.REST_MILLIS);
        judge.attempted("r", "c", TTL_MILLIS, after(1));
        judge.closed("r", after(2));

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void aCloseThatCrossesARequestAfterARestIsCountedApart() {
        send(true, SoakJudge.REST_MILLIS);
        judge.closed("r", after(SoakJudge.CROSSING_MILLIS));

        assertEquals(List.of(), brokenRules());
        assertEquals(1, judge.crossedCount());
    }

    @Test
    void aLateCloseAfterARestIsReported() {
        send(true, SoakJudge.REST_MILLIS);
        judge.closed("r", after(SoakJudge.CROSSING_MILLIS + 1));

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    @Test
    void anAttemptThatIsDoubledIsReported() {
        send(false, 0);
        judge.attempted("r", "o", TTL_MILLIS, after(1));
        judge.attempted("r", "o", TTL_MILLIS, after(2));
        judge.answered("r", after(3));

        assertEquals(List.of(Rule.DUPLICATE), brokenRules());
    }

    @Test
    void anAttemptAtANodeThatDrainsIsReported() {
        judge.drained("c", after(0));
        send(true, 0);
        judge.attempted("r", "c", TTL_MILLIS, after(1));
        judge.answered("r", after(2));

        assertEquals(List.of(Rule.DRAINING), brokenRules());
    }

    @Test
    void anAttemptAfterItsClientHasLeftIsReported() {
        send(true, 0);
        judge.clientLeft("r", after(10));
        judge.attempted("r", "c", TTL_MILLIS, after(10 + SoakJudge.LATE_ATTEMPT_MILLIS + 1));

        assertEquals(List.of(Rule.LATE_ATTEMPT), brokenRules());
    }

    @Test
    void aDeadlineLongerThanTheClientWaitsIsReported() {
        send(true, 0);
        judge.attempted("r", "c", TTL_MILLIS, after(SoakJudge.DEADLINE_SLACK_MILLIS + 1));
        judge.answered("r", after(200));

        assertEquals(List.of(Rule.DEADLINE), brokenRules());
    }

    /** A listener that closes with connections in its queue loses what was written to them. */
    @Test
    void aListenerClosedWithItsQueueFullIsReported() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            SoakClient client = client(listener, () -> true);
            Thread running = new Thread(client);
            running.start();
            ProxyTestSupport.waitUntil(() -> judge.requestCount() == 1);
            listener.close();
            client.stop();
            running.join();
        }

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    /** The same on a connection that was accepted, and read. */
    @Test
    void aConnectionThatIsReadAndClosedIsReported() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 9, InetAddress.getLoopbackAddress())) {
            SoakClient client = client(listener, () -> judge.requestCount() == 0);
            Thread running = new Thread(client);
            running.start();
            readAndClose(listener);
            client.stop();
            running.join();
        }

        assertEquals(List.of(Rule.LOST), brokenRules());
    }

    private SoakClient client(ServerSocket listener, BooleanSupplier mayConnect) {
        return new SoakClient(
                "r",
                judge,
                listener.getLocalPort(),
                SoakClient.Kind.KEEPS,
                mayConnect,
                RandomGeneratorFactory.of("L64X128MixRandom").create(1));
    }

    private static void readAndClose(ServerSocket listener) throws IOException {
        try (Socket accepted = listener.accept()) {
            ProxyTestSupport.readMessage(accepted);
        }
    }
}
