package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.config.ProxyConfig;
import cairnbridge.time.Ticks;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A request that waits in its socket while the reactor is held up is not given its whole TTL
 * afterwards. The clock is advanced by the test, so the hold-up takes no time.
 */
class ArrivalTest extends ProxyTestSupport {
    private static final long TTL_TICKS = Ticks.SECOND;
    private static final long HELD_TICKS = 300 * Ticks.MILLISECOND;

    /** How much longer than its TTL a deadline may be: the slack of the platform's rule. */
    private static final long SLACK_TICKS = 150 * Ticks.MILLISECOND;

    private static final String HEADERS = "X-Expires-In: 1000m\r\nX-Trace-Id: ";
    private static final int WAIT_SECONDS = 9;

    private static final long HEAP_BYTES = 32 << 20;
    private static final long MEMORY_WAIT_MILLIS = 400;

    /** A request whose TTL the reactor has fixed. */
    private record Arrival(String traceId, long deadlineTicks, boolean permitted) {}

    private final AtomicLong nowTicks = new AtomicLong(Ticks.SECOND);
    private final BlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();
    private final CountDownLatch held = new CountDownLatch(1);
    private final CountDownLatch release = new CountDownLatch(1);
    private ConnectionReactor reactor;
    private RequestMemory othersMemory;

    @BeforeEach
    void startReactor() throws Exception {
        clock =
                new TickClock() {
                    @Override
                    long now() {
                        return nowTicks.get();
                    }
                };
        ProxyConfig config = config(endpointListJson(1, true), "127.0.0.1:9");
        ListenerState listenerState =
                new ListenerState(
                        clock,
                        List.of("view"),
                        new ProxyMetrics(List.of("view")),
                        new HeapAccount(HEAP_BYTES));
        othersMemory = new RequestMemory(listenerState.requestContext().requestBodies());
        reactor =
                new ConnectionReactor(
                        config,
                        (onReleased, abort, bound, closed) ->
                                new ClientExchange(
                                        listenerState,
                                        new Arrivals(),
                                        onReleased,
                                        abort,
                                        bound,
                                        closed),
                        () -> {},
                        closed -> {},
                        listenerState,
                        Thread::new);
        closeables.add(reactor::stop);
        closeables.add(release::countDown);
        reactor.start();
        reactor.listen(new InetSocketAddress("127.0.0.1", 0));
    }

    /** Records deadlines; the request "hold" holds the reactor's thread until the release. */
    private final class Arrivals implements ClientEvents {
        @Override
        public void requestArrived(ClientExchange exchange, long deadlineTicks) {
            record(exchange, deadlineTicks);
            if (exchange.requestPipe() != null) {
                exchange.requestPipe().discard();
            }
            if (exchange.traceId().equals("hold")) {
                held.countDown();
                awaitRelease();
            }
        }

        private void record(ClientExchange exchange, long deadlineTicks) {
            exchange.revokeIfClientClosed();
            boolean permitted = exchange.sendPermit().rejection(clock.now()) == null;
            arrivals.add(new Arrival(exchange.traceId(), deadlineTicks, permitted));
        }

        private void awaitRelease() {
            try {
                assertTrue(release.await(WAIT_SECONDS, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void clientDisconnected(ClientExchange exchange) {
            // Of no interest here.
        }

        @Override
        public void requestBodyCompleted(ClientExchange exchange, long deadlineTicks) {
            record(exchange, deadlineTicks);
        }
    }

    private Socket connect() throws IOException {
        InetSocketAddress address = reactor.address();
        Socket client = new Socket(address.getAddress(), address.getPort());
        closeables.add(client);
        return client;
    }

    private long deadlineOf(String traceId) throws InterruptedException {
        return arrivalOf(traceId).deadlineTicks;
    }

    private Arrival arrivalOf(String traceId) throws InterruptedException {
        Arrival arrival = arrivals.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        while (arrival != null && !arrival.traceId.equals(traceId)) {
            arrival = arrivals.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        }
        assertFalse(arrival == null, "no request " + traceId);
        return arrival;
    }

    private void holdReactor() throws Exception {
        send(connect(), "GET /view/1", HEADERS + "hold\r\n", "");
        assertTrue(held.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Makes reactor and acceptor poll several times. */
    private void pollWithoutDelay() throws IOException {
        for (int i = 0; i < 4; i++) {
            Socket client = connect();
            send(client, "GET /-/ready", "", "");
            assertEquals(503, statusCode(readMessage(client)));
        }
    }

    private void assertDeadlineWithinSlack(String traceId, long sentTicks) throws Exception {
        nowTicks.addAndGet(HELD_TICKS);
        release.countDown();

        long deadlineTicks = deadlineOf(traceId);

        assertTrue(
                deadlineTicks <= sentTicks + TTL_TICKS + SLACK_TICKS,
                "deadline after ticks: " + (deadlineTicks - sentTicks));
        assertTrue(
                deadlineTicks >= sentTicks + TTL_TICKS - SLACK_TICKS,
                "deadline after ticks: " + (deadlineTicks - sentTicks));
    }

    @Test
    void aRequestOnANewConnectionLosesTheTimeForWhichTheReactorIsHeld() throws Exception {
        holdReactor();
        long sentTicks = nowTicks.get();
        send(connect(), "GET /view/2", HEADERS + "late\r\n", "");

        assertDeadlineWithinSlack("late", sentTicks);
    }

    @Test
    void aRequestOnAnOpenConnectionLosesTheTimeForWhichTheReactorIsHeld() throws Exception {
        Socket client = connect();
        waitUntil(() -> reactor.clients().count() == 1);
        holdReactor();
        long sentTicks = nowTicks.get();
        send(client, "GET /view/2", HEADERS + "late\r\n", "");

        assertDeadlineWithinSlack("late", sentTicks);
    }

    @Test
    void aBodyWhoseLastBytesWaitLosesTheTimeForWhichTheReactorIsHeld() throws Exception {
        Socket client = connect();
        send(client, "PUT /view/2", HEADERS + "late\r\nContent-Length: 4\r\n", "");
        client.getOutputStream().write("ab".getBytes());
        waitUntil(() -> reactor.clients().count() == 1);
        holdReactor();
        long sentTicks = nowTicks.get();
        client.getOutputStream().write("cd".getBytes());

        assertDeadlineWithinSlack("late", sentTicks);
    }

    @Test
    void aStreamedBodyWhoseLastBytesWaitLosesTheTimeForWhichTheReactorIsHeld() throws Exception {
        int length = BufferedBody.MAX_BYTES + 100;
        Socket client = connect();
        send(client, "PUT /view/2", HEADERS + "late\r\nContent-Length: " + length + "\r\n", "");
        client.getOutputStream().write(new byte[BufferedBody.MAX_BYTES + 1]);
        deadlineOf("late");
        holdReactor();
        long sentTicks = nowTicks.get();
        client.getOutputStream().write(new byte[99]);

        assertDeadlineWithinSlack("late", sentTicks);
    }

    /** Guards against a deadline that is too long after a body has waited for memory. */
    @Test
    void aBodyLosesTheTimeForWhichItWaitsForMemory() throws Exception {
        othersMemory.reserve((int) HEAP_BYTES);
        long sentTicks = nowTicks.get();
        Socket client = connect();
        send(client, "PUT /view/2", HEADERS + "late\r\nContent-Length: 30000\r\n", "");
        client.getOutputStream().write(new byte[30_000]);
        Thread.sleep(MEMORY_WAIT_MILLIS);
        othersMemory.close();

        long deadlineTicks = deadlineOf("late");

        long waitedTicks = Ticks.fromMillis(MEMORY_WAIT_MILLIS);
        assertTrue(
                deadlineTicks <= sentTicks + TTL_TICKS - waitedTicks + SLACK_TICKS,
                "deadline after ticks: " + (deadlineTicks - sentTicks));
    }

    /** Guards against a client that waits in vain while others hold all memory for bodies. */
    @Test
    void aRequestForWhichNoMemoryIsFreedIsAnswered() throws Exception {
        othersMemory.reserve((int) HEAP_BYTES);
        Socket client = connect();
        send(client, "PUT /view/2", HEADERS + "late\r\nContent-Length: 60000\r\n", "");
        client.getOutputStream().write(new byte[60_000]);
        daemon(
                () -> {
                    while (true) {
                        reactor.closeOverdue();
                        Thread.sleep(20);
                    }
                });

        assertEquals(503, statusCode(readMessage(client)));
        assertTrue(arrivals.isEmpty(), "the request was passed on");
    }

    /** Guards against a late answer after several waits that are each within their limit. */
    @Test
    void aRequestThatWaitsForMemorySeveralTimesIsAnsweredOnceTheyAreTooLongInSum()
            throws Exception {
        othersMemory.reserve((int) HEAP_BYTES);
        Socket client = connect();
        client.setSoTimeout(4000);
        send(client, "PUT /view/2", HEADERS + "late\r\nContent-Length: 60000\r\n", "");
        client.getOutputStream().write(new byte[60_000]);
        Thread.sleep(MEMORY_WAIT_MILLIS);
        // Frees memory for one grant, which the body takes, and waits again for the next.
        long limitBytes = new HeapAccount(HEAP_BYTES).bodyBytes() / 2;
        othersMemory.release((int) (HEAP_BYTES - limitBytes) + 4 * MemoryBudget.GRANT_BYTES);
        othersMemory.reserve((int) HEAP_BYTES);
        Thread.sleep(MEMORY_WAIT_MILLIS);
        reactor.closeOverdue();

        assertEquals(503, statusCode(readMessage(client)));
    }

    /** Guards against an attempt that begins long after its client has closed its connection. */
    @Test
    void aCloseThatTheReactorHasNotReadRevokesThePermitOfTheRequest() throws Exception {
        Socket client = connect();
        holdReactor();
        send(client, "GET /view/2", HEADERS + "closed\r\n", "");
        client.close();
        release.countDown();

        assertFalse(arrivalOf("closed").permitted);
    }

    /** Guards against an attempt for a client that has left behind much that is not read. */
    @Test
    void aCloseBehindMuchUnreadInputRevokesThePermitOfTheRequest() throws Exception {
        Socket client = connect();
        holdReactor();
        send(client, "GET /view/2", HEADERS + "closed\r\n", "");
        client.getOutputStream().write(new byte[300_000]);
        client.close();
        release.countDown();

        assertFalse(arrivalOf("closed").permitted);
    }

    @Test
    void aRequestWhoseClientWaitsKeepsItsPermit() throws Exception {
        send(connect(), "GET /view/2", HEADERS + "waiting\r\n", "");

        assertTrue(arrivalOf("waiting").permitted);
    }

    @Test
    void aRequestThatDoesNotWaitHasItsWholeTtl() throws Exception {
        holdReactor();
        nowTicks.addAndGet(HELD_TICKS);
        release.countDown();
        pollWithoutDelay();
        Socket client = connect();
        nowTicks.incrementAndGet();
        pollWithoutDelay();
        send(client, "GET /view/2", HEADERS + "prompt\r\n", "");
        assertEquals(nowTicks.get() + TTL_TICKS, deadlineOf("prompt"));

        send(connect(), "GET /view/3", HEADERS + "new\r\n", "");
        assertEquals(nowTicks.get() + TTL_TICKS, deadlineOf("new"));
    }
}
