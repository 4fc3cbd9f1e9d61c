package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.admin.ProxyMetrics;
import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.Ids.NodeId;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.WritableByteChannel;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncPushProducer;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The permission to send an attempt is checked again when its bytes are written, even while the
 * coordinator thread is busy.
 */
class AttemptTest {
    private static final long LATEST_START = 50 * TickClock.TICKS_PER_MILLI;

    /** A socket to which nothing may be written. */
    private static final WritableByteChannel NO_SOCKET =
            new WritableByteChannel() {
                @Override
                public int write(ByteBuffer source) {
                    throw new AssertionError("bytes are written");
                }

                @Override
                public boolean isOpen() {
                    return true;
                }

                @Override
                public void close() {
                    // Holds no resources.
                }
            };

    private long now = 1;
    private final TickClock clock =
            new TickClock() {
                @Override
                long now() {
                    return now;
                }
            };

    /** No coordinator thread polls this queue: the thread counts as busy during the test. */
    private final EventQueue eventQueue = new EventQueue(99);

    private final ProxyMetrics metrics = new ProxyMetrics(List.of("view"));
    private ClientExchange client;
    private UpstreamAttempt attempt;
    private boolean sent;
    private boolean clientClosed;

    @BeforeEach
    void createAttempt() {
        client =
                new ClientExchange(
                        new ListenerState(clock, List.of("view"), metrics),
                        eventQueue,
                        exchange -> {},
                        () -> {},
                        new ArrivalBound(clock, new PollTimes(clock), clock.now()),
                        () -> clientClosed);
        client.method = "PUT";
        client.target = "/view/1";
        client.requestBody = new byte[100];
        attempt = createAttempt(LATEST_START);
    }

    private UpstreamAttempt createAttempt(long latestStartTicks) {
        return new UpstreamAttempt(
                client,
                new NodeId(1),
                0,
                2 * latestStartTicks,
                latestStartTicks,
                eventQueue,
                clock,
                metrics);
    }

    private void causeRejection(AttemptRejection reason) {
        switch (reason) {
            case CLIENT_GONE -> client.failed(new IOException("closed"));
            case OP_OVER -> client.sendPermit.revoke(AttemptRejection.OP_OVER);
            case NODE_CLOSED -> attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
            default -> now = LATEST_START;
        }
    }

    private AttemptOutcome polledOutcome() {
        ProxyEvent event = eventQueue.poll();
        return event instanceof ProxyEvent.AttemptCompleted completed ? completed.outcome() : null;
    }

    @ParameterizedTest
    @EnumSource(AttemptRejection.class)
    void anAttemptRejectedBeforeItsFirstByteIsReportedAsNotSent(AttemptRejection reason) {
        assertNull(attempt.sendPermit.rejection(now));
        causeRejection(reason);
        assertThrows(
                IOException.class,
                () -> attempt.produceRequest((request, entity, context) -> sent = true, null));
        assertFalse(sent);
        assertEquals(AttemptOutcome.NOT_SENT, polledOutcome());
        assertTrue(
                metrics.format().contains("refused." + reason.name().toLowerCase() + ":1|c"),
                metrics.format());
    }

    /**
     * Guards against a long body whose last byte is sent after the idempotency window, or when the
     * client has disconnected or the request is already answered. A drain of the node is no reason
     * to hold back the rest of a body.
     */
    @ParameterizedTest
    @EnumSource(AttemptRejection.class)
    void theLastByteIsNotSentAfterARejectionUnlessTheNodeDrains(AttemptRejection reason)
            throws IOException {
        SlowChannel out = new SlowChannel();
        attempt.setBody(new ByteArrayBody(client.requestBody));
        attempt.produce(out);
        assertFalse(attempt.isWritten());
        causeRejection(reason);
        if (reason == AttemptRejection.NODE_CLOSED) {
            for (int i = 0; i < 3; i++) {
                attempt.produce(out);
            }
            assertTrue(attempt.isWritten());
        } else {
            assertThrows(IOException.class, () -> attempt.produce(out));
            assertEquals(AttemptOutcome.NOT_SENT, polledOutcome());
            assertEquals(40, out.acceptedBytes);
        }
    }

    /** Guards against a server that is told more time than is left, by a head that leaves late. */
    @Test
    void aHeadThatWaitedForTheSocketIsNotSent() throws Exception {
        attempt = createAttempt(10 * LATEST_START);
        connectAttempt();
        attempt.produceRequest((request, entity, context) -> sent = true, null);
        assertTrue(sent);
        now += 101 * TickClock.TICKS_PER_MILLI;

        assertThrows(IOException.class, () -> attempt.write(ByteBuffer.allocate(9), NO_SOCKET));

        assertEquals(AttemptOutcome.NOT_SENT, polledOutcome());
    }

    /** Gives the attempt a connection that is established and has no input. */
    private void connectAttempt() {
        ProtocolIOSession session =
                (ProtocolIOSession)
                        Proxy.newProxyInstance(
                                AttemptTest.class.getClassLoader(),
                                new Class<?>[] {ProtocolIOSession.class},
                                (proxy, method, arguments) ->
                                        method.getName().equals("read") ? 0 : null);
        new UpstreamConnection(new InetSocketAddress(0), null, Timeout.DISABLED, attempt)
                .completed(session);
    }

    private void handleRequest(BasicHttpRequest request, AtomicBoolean exchangeTerminated)
            throws Exception {
        client.handleRequest(
                request,
                null,
                new ResponseChannel() {
                    @Override
                    public void sendInformation(HttpResponse response, HttpContext context) {
                        // The exchange sends no 1xx response in this test.
                    }

                    @Override
                    public void sendResponse(
                            HttpResponse response, EntityDetails entity, HttpContext context)
                            throws IOException {
                        throw new IOException("Broken pipe");
                    }

                    @Override
                    public void pushPromise(
                            HttpRequest promise, AsyncPushProducer producer, HttpContext context) {
                        // The proxy makes no push promises.
                    }

                    @Override
                    public void terminateExchange() {
                        exchangeTerminated.set(true);
                    }
                },
                null);
    }

    private static BasicHttpRequest createRequest() {
        BasicHttpRequest request = new BasicHttpRequest("GET", "/view/1");
        request.addHeader(ClientExchange.TRACE_ID_HEADER, "9b1f");
        request.addHeader(ClientExchange.TTL_HEADER, "900m");
        return request;
    }

    /** Guards against an attempt for a client whose close has not been read yet. */
    @Test
    void anAttemptWhoseClientHasClosedUnreadIsReportedAsNotSent() throws Exception {
        handleRequest(createRequest(), new AtomicBoolean());
        assertTrue(eventQueue.poll() instanceof ProxyEvent.RequestArrived);
        clientClosed = true;

        assertThrows(
                IOException.class,
                () -> attempt.produceRequest((request, entity, context) -> sent = true, null));

        assertFalse(sent);
        assertEquals(AttemptOutcome.NOT_SENT, polledOutcome());
    }

    /**
     * Guards against a node that continues to send a response although its client disconnected when
     * the response head was written.
     */
    @Test
    void aClientIsDisconnectedIfItsResponseHeadCannotBeWritten() throws Exception {
        AtomicBoolean exchangeTerminated = new AtomicBoolean();
        handleRequest(createRequest(), exchangeTerminated);
        assertFalse(client.hasClientDisconnected());
        client.streamAnswer(client.createPipe(-1));
        assertTrue(client.hasClientDisconnected() && exchangeTerminated.get());
    }

    @Test
    void theFirstRevocationReasonRemainsAndTheLatestStartTimeIsTooLate() {
        now = LATEST_START - 1;
        assertNull(attempt.sendPermit.rejection(now));
        attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
        attempt.sendPermit.revoke(AttemptRejection.OP_OVER);
        client.sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        assertEquals(AttemptRejection.NODE_CLOSED, attempt.sendPermit.rejection(now));
        assertEquals(AttemptRejection.CLIENT_GONE, attempt.sendPermit.rejectionOfLastByte(now));
        assertEquals(
                AttemptRejection.TOO_LATE,
                new SendPermit().forAttempt(LATEST_START).rejection(LATEST_START));
    }

    /** Accepts forty bytes per write, like a connection to a peer that reads slowly. */
    private static final class SlowChannel implements DataStreamChannel {
        int acceptedBytes;

        @Override
        public int write(ByteBuffer src) {
            int count = Math.min(40, src.remaining());
            src.position(src.position() + count);
            acceptedBytes += count;
            return count;
        }

        @Override
        public void requestOutput() {
            // Ignored: the test calls produce() itself.
        }

        @Override
        public void endStream() {
            // The test examines only the bytes written.
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            // The test examines only the bytes written.
        }
    }
}
