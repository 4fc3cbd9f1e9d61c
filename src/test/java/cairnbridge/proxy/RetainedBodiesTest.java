package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import java.io.IOException;
import java.lang.ref.WeakReference;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.Test;

/** What the bodies of requests occupy in sum, and that none is kept once its request is over. */
class RetainedBodiesTest {
    private static final int BODY_BYTES = 60_000;
    private static final int READ_BYTES = 4096;
    private static final long HEAP_BYTES = 32 << 20;
    private static final int MANY_REQUESTS = 1000;
    private static final long DEADLINE_TICKS = 60_000 * TickClock.TICKS_PER_MILLI;

    private final TickClock clock = new TickClock();
    private final EventQueue eventQueue = new EventQueue(99);
    private final ProxyMetrics metrics = new ProxyMetrics(List.of("view"));
    private final ListenerState listenerState =
            new ListenerState(clock, List.of("view"), metrics, new HeapAccount(HEAP_BYTES));

    private UpstreamAttempt createAttempt() {
        ClientExchange client =
                new ClientExchange(
                        listenerState,
                        eventQueue,
                        exchange -> {},
                        () -> {},
                        new ArrivalBound(clock, new PollTimes(clock), clock.now()),
                        () -> false);
        client.method = "GET";
        client.target = "/view/1";
        client.traceId = "1";
        return new UpstreamAttempt(
                client,
                new NodeId(1),
                0,
                clock.now() + DEADLINE_TICKS,
                clock.now() + DEADLINE_TICKS,
                eventQueue,
                clock,
                metrics);
    }

    /** A session that accepts everything and has nothing to read. */
    private static IOSession createSession() {
        return (IOSession)
                Proxy.newProxyInstance(
                        IOSession.class.getClassLoader(),
                        new Class<?>[] {IOSession.class},
                        (session, method, arguments) ->
                                method.getReturnType() == int.class ? Integer.valueOf(0) : null);
    }

    private void exchangeMessages(UpstreamAttempt attempt) throws Exception {
        attempt.produceRequest((request, entity, context) -> {}, null);
        attempt.consumeResponse(
                new BasicHttpResponse(200), new BasicEntityDetails(BODY_BYTES, null), null);
        attempt.consume(ByteBuffer.allocate(BODY_BYTES));
        attempt.streamEnd(List.of());
        eventQueue.poll();
    }

    private static void assertIsCollected(WeakReference<?> reference) {
        for (int i = 0; i < 10 && reference.get() != null; i++) {
            System.gc();
        }
        assertNull(reference.get(), "the request is still held");
    }

    /** Guards against hundreds of kept connections that each hold the bodies of two requests. */
    @Test
    void aKeptConnectionHoldsNoRequestThatIsOver() throws Exception {
        UpstreamAttempt attempt = createAttempt();
        UpstreamConnection connection =
                new UpstreamConnection(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                        null,
                        Timeout.DISABLED,
                        attempt);
        connection.completed(createSession());
        exchangeMessages(attempt);
        WeakReference<UpstreamAttempt> held = new WeakReference<>(attempt);
        attempt = null;

        assertIsCollected(held);
        assertNull(connection.latestExchange());
    }

    /** Guards against a body that stays in memory until its request's TTL, of a minute perhaps. */
    @Test
    void aPendingTimeoutHoldsNoAttemptThatIsOver() {
        UpstreamAttempt attempt = createAttempt();
        attempt.exchange.assignRequestId(new RequestId(1));
        TimerQueue timers = new TimerQueue();
        timers.scheduleAttemptTimeout(clock.now() + DEADLINE_TICKS, attempt);
        WeakReference<UpstreamAttempt> held = new WeakReference<>(attempt);
        attempt = null;

        assertIsCollected(held);
        assertFalse(timers.isEmpty());
    }

    /** A server that sends as much of its answer as it is granted, in reads of a buffer each. */
    private static final class EagerServer implements CapacityChannel {
        private final UpstreamAttempt attempt;
        private int grantedBytes = READ_BYTES;
        private int sentBytes;

        EagerServer(UpstreamAttempt attempt) {
            this.attempt = attempt;
        }

        @Override
        public void update(int increment) {
            grantedBytes += increment;
        }

        void sendAllGranted() throws IOException {
            while (sentBytes < Math.min(grantedBytes, BODY_BYTES)) {
                int count = Math.min(READ_BYTES, BODY_BYTES - sentBytes);
                attempt.consume(ByteBuffer.allocate(count));
                sentBytes += count;
                if (sentBytes >= grantedBytes && sentBytes < BODY_BYTES) {
                    attempt.updateCapacity(this);
                }
            }
        }
    }

    /** Guards against the end of the process as hundreds of answers are buffered at a time. */
    @Test
    void theAnswersOfManyRequestsStayWithinTheirBudgetInSum() throws Exception {
        long sentBytes = 0;
        for (int i = 0; i < MANY_REQUESTS; i++) {
            UpstreamAttempt attempt = createAttempt();
            attempt.consumeResponse(
                    new BasicHttpResponse(200), new BasicEntityDetails(BODY_BYTES, null), null);
            EagerServer server = new EagerServer(attempt);
            server.sendAllGranted();
            sentBytes += server.sentBytes;
            while (eventQueue.poll() != null) {
                // The coordinator starts no answer, so that no client takes any bytes.
            }
        }

        long budgetBytes = new HeapAccount(HEAP_BYTES).bodyBytes() / 2;
        long mostBytes =
                budgetBytes + MANY_REQUESTS * (BodyPipe.NARROW_WINDOW_BYTES + 2L * READ_BYTES);
        assertTrue(sentBytes <= mostBytes, "servers may send " + sentBytes + " bytes");
    }
}
