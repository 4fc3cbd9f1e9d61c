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
import java.nio.ByteBuffer;
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
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * What was allowed when it was decided is asked again where the bytes leave, whatever the owner
 * thread does.
 */
class AttemptTest {
    private static final long LATEST = 50 * TickClock.TICKS_PER_MILLI;
    private long now = 1;
    private final TickClock clock =
            new TickClock() {
                @Override
                long now() {
                    return now;
                }
            };

    /** Nobody empties it: the owner is busy for as long as the test lasts. */
    private final EventQueue inbox = new EventQueue(99);

    private final ProxyMetrics figures = new ProxyMetrics(List.of("view"));
    private ClientExchange client;
    private UpstreamAttempt attempt;
    private boolean sent;

    @BeforeEach
    void decide() {
        client =
                new ClientExchange(
                        new ListenerState(clock, List.of("view"), figures),
                        inbox,
                        done -> {},
                        () -> {});
        client.method = "PUT";
        client.target = "/view/1";
        client.requestBody = new byte[100];
        attempt =
                new UpstreamAttempt(
                        client, new NodeId(1), 0, 2 * LATEST, LATEST, inbox, clock, figures);
    }

    private void happens(AttemptRejection what) {
        switch (what) {
            case CLIENT_GONE -> client.failed(new IOException("closed"));
            case OP_OVER -> client.sendPermit.revoke(AttemptRejection.OP_OVER);
            case NODE_CLOSED -> attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
            default -> now = LATEST;
        }
    }

    private AttemptOutcome ending() {
        ProxyEvent notice = inbox.poll();
        return notice instanceof ProxyEvent.AttemptCompleted over ? over.outcome() : null;
    }

    @ParameterizedTest
    @EnumSource(AttemptRejection.class)
    void whatIsNoLongerAllowedDoesNotBeginAndProvablyNeverRan(AttemptRejection what) {
        assertNull(attempt.sendPermit.rejection(now));
        happens(what);
        assertThrows(
                IOException.class,
                () -> attempt.produceRequest((request, entity, context) -> sent = true, null));
        assertFalse(sent);
        assertEquals(AttemptOutcome.NOT_SENT, ending());
        assertTrue(
                figures.format().contains("refused." + what.name().toLowerCase() + ":1|c"),
                figures.format());
    }

    /**
     * Guards against a long body whose last byte leaves after the idempotency window, or for
     * nobody.
     */
    @ParameterizedTest
    @EnumSource(AttemptRejection.class)
    void theLastByteOfABodyIsHeldBackTooButForANodeThatDrainsMeanwhile(AttemptRejection what)
            throws IOException {
        OneByteChannel out = new OneByteChannel();
        attempt.setBody(new ByteArrayBody(client.requestBody));
        attempt.produce(out);
        assertFalse(attempt.isWritten());
        happens(what);
        if (what == AttemptRejection.NODE_CLOSED) {
            for (int i = 0; i < 3; i++) {
                attempt.produce(out);
            }
            assertTrue(attempt.isWritten());
        } else {
            assertThrows(IOException.class, () -> attempt.produce(out));
            assertEquals(AttemptOutcome.NOT_SENT, ending());
            assertEquals(40, out.taken);
        }
    }

    /**
     * Guards against a node that goes on with an answer whose client was gone as it began to pass.
     */
    @Test
    void aClientWhoseConnectionBreaksUnderTheHeadOfAnAnswerHasGone() throws Exception {
        BasicHttpRequest request = new BasicHttpRequest("GET", "/view/1");
        request.addHeader(ClientExchange.TRACE_ID_HEADER, "9b1f");
        request.addHeader(ClientExchange.TTL_HEADER, "900m");
        AtomicBoolean ended = new AtomicBoolean();
        client.handleRequest(
                request,
                null,
                new ResponseChannel() {
                    @Override
                    public void sendInformation(HttpResponse response, HttpContext context) {
                        // None is sent.
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
                        // None is made.
                    }

                    @Override
                    public void terminateExchange() {
                        ended.set(true);
                    }
                },
                null);
        assertFalse(client.hasClientDisconnected());
        client.streamAnswer(client.createPipe(-1));
        assertTrue(client.hasClientDisconnected() && ended.get());
    }

    @Test
    void theFirstCauseStaysAndTheLatestBeginIsTheFirstMomentTooLate() {
        now = LATEST - 1;
        assertNull(attempt.sendPermit.rejection(now));
        attempt.sendPermit.revoke(AttemptRejection.NODE_CLOSED);
        attempt.sendPermit.revoke(AttemptRejection.OP_OVER);
        client.sendPermit.revoke(AttemptRejection.CLIENT_GONE);
        assertEquals(AttemptRejection.NODE_CLOSED, attempt.sendPermit.rejection(now));
        assertEquals(AttemptRejection.CLIENT_GONE, attempt.sendPermit.rejectionOfLastByte(now));
        assertEquals(
                AttemptRejection.TOO_LATE, new SendPermit().forAttempt(LATEST).rejection(LATEST));
    }

    /** Takes forty bytes at a time, as a connection does whose other side is slow. */
    private static final class OneByteChannel implements DataStreamChannel {
        int taken;

        @Override
        public int write(ByteBuffer src) {
            int count = Math.min(40, src.remaining());
            src.position(src.position() + count);
            taken += count;
            return count;
        }

        @Override
        public void requestOutput() {
            // The test asks by itself.
        }

        @Override
        public void endStream() {
            // No more follows.
        }

        @Override
        public void endStream(List<? extends Header> trailers) {
            // No more follows.
        }
    }
}
