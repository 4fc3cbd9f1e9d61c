package cairnbridge.decision;

import static cairnbridge.decision.FakeHost.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.decision.FakeHost.SentAttempt;
import cairnbridge.decision.Ids.NodeId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Effect;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What long responses, read slowly by their clients, mean for the requests of other clients. */
class StreamingLoadTest {
    /** More than the limit on requests in flight with which a router starts. */
    private static final int MANY_STREAMS = 400;

    private static final int FEW_STREAMS = 100;
    private static final long FIRST_OTHER = 10_000;
    private static final int OTHERS = 100;
    private static final long LATE_TIME = SECOND * 8 / 10;
    private static final int INITIAL_ORIGIN_LIMIT = 16;
    private static final int UNANSWERED = 100;
    private static final long SERVER_TIME = 10;

    private final FakeHost host = new FakeHost(Effect.IDEMPOTENT).listCaches(3);

    private void startStreams(int count) {
        for (long id = 0; id < count; id++) {
            host.request(id, id, SECOND).advance(SERVER_TIME);
            SentAttempt attempt = host.attempts.get(host.attempts.size() - 1);
            assertEquals(id, attempt.request(), "not sent");
            host.handle(
                    new Event.StreamingStarted(
                            new RequestId(id),
                            attempt.attempt(),
                            new NodeId(attempt.node()),
                            SERVER_TIME));
        }
    }

    private void assertOthersAreServed() {
        host.succeedRequests(FIRST_OTHER, FIRST_OTHER + OTHERS, SERVER_TIME);
        assertEquals(List.of(), host.answers);
    }

    /** Guards against hundreds of slow readers that have all other clients answered 503. */
    @Test
    void slowReadersOfLongResponsesDoNotKeepOtherRequestsOut() {
        startStreams(MANY_STREAMS);

        assertOthersAreServed();
    }

    /** Guards against clients that read slowly and are taken for slow caches as they finish. */
    @Test
    void theEndOfSlowlyReadResponsesIsNoSignOfOverload() {
        startStreams(FEW_STREAMS);
        host.advance(100 * SECOND);
        List.copyOf(host.attempts).forEach(attempt -> end(attempt, 100 * SECOND));

        host.advance(SECOND);

        assertEquals(0, host.avoidedNodes);
        assertOthersAreServed();
    }

    /** Guards against caches that get more than they bear because long responses hide the load. */
    @Test
    void overloadIsStillRecognisedBesideSlowReaders() {
        startStreams(FEW_STREAMS);
        for (long id = FIRST_OTHER; id < FIRST_OTHER + UNANSWERED; id++) {
            host.request(id, id, SECOND).endAttempt(AttemptOutcome.TIMED_OUT, SECOND);
        }
        int attemptsBefore = host.attempts.size();

        for (long id = 2 * FIRST_OTHER; id < 2 * FIRST_OTHER + OTHERS; id++) {
            host.request(id, id, SECOND);
        }

        int sent = host.attempts.size() - attemptsBefore;
        assertTrue(sent < OTHERS / 4, sent + " of " + OTHERS + " sent to overloaded caches");
    }

    private void startUploads() {
        host.isWrite = true;
        for (long id = 0; id < FEW_STREAMS; id++) {
            startUpload(id);
        }
    }

    private void startUpload(long id) {
        host.request(id, id, SECOND);
        SentAttempt attempt = host.attempts.get(host.attempts.size() - 1);
        assertEquals(id, attempt.request(), "not sent");
        host.handle(new Event.RequestBodyStreamingStarted(new RequestId(id), attempt.attempt()));
    }

    /** Guards against a few slow uploads that have all other writes and misses answered 503. */
    @Test
    void slowUploadsDoNotKeepOtherWritesFromTheOrigin() {
        startUploads();

        assertOthersAreServed();
    }

    /** Ends all uploads; as for the product, durations count from the last byte of the body. */
    private void endUploads(long duration) {
        List<SentAttempt> uploads = List.copyOf(host.attempts);
        for (SentAttempt attempt : uploads) {
            RequestId request = new RequestId(attempt.request());
            host.handle(new Event.RequestDeadlineChanged(request, host.clock + 2 * duration));
            host.handle(new Event.RequestBodyReceived(request));
        }
        host.advance(duration);
        uploads.forEach(attempt -> end(attempt, duration));
    }

    private void end(SentAttempt attempt, long duration) {
        host.handle(
                new Event.AttemptEnded(
                        new RequestId(attempt.request()),
                        attempt.attempt(),
                        new NodeId(attempt.node()),
                        AttemptOutcome.SUCCESS,
                        0,
                        duration,
                        true,
                        null));
    }

    /** Guards against slow uploads that count as load, or as slow, once they have ended. */
    @Test
    void theEndOfASlowUploadIsNoSignOfASlowOrigin() {
        startUploads();
        host.advance(20 * SECOND);

        endUploads(SERVER_TIME);

        assertOthersAreServed();
    }

    /** Guards against a slow origin that is held for quick as the time of a body is taken off. */
    @Test
    void anOriginThatIsSlowAfterLongBodiesIsRecognised() {
        host.isWrite = true;
        for (long id = 0; id < FEW_STREAMS; id++) {
            startUpload(id);
            host.advance(SECOND / 2);
            host.handle(new Event.RequestDeadlineChanged(new RequestId(id), host.clock + SECOND));
            host.handle(new Event.RequestBodyReceived(new RequestId(id)));
            host.endAttempt(AttemptOutcome.SUCCESS, LATE_TIME);
        }
        int attemptsBefore = host.attempts.size();

        for (long id = FIRST_OTHER; id < FIRST_OTHER + OTHERS; id++) {
            host.request(id, id, 5 * SECOND);
        }

        int sent = host.attempts.size() - attemptsBefore;
        assertTrue(sent < INITIAL_ORIGIN_LIMIT, sent + " sent at once to a slow origin");
    }

    /** Guards against an origin that is sent more than it bears once the bodies have come. */
    @Test
    void receivedUploadsCountForTheLimitOfTheOrigin() {
        startUploads();
        for (long id = 0; id < FEW_STREAMS; id++) {
            host.handle(new Event.RequestBodyReceived(new RequestId(id)));
        }
        int attemptsBefore = host.attempts.size();

        host.request(FIRST_OTHER, FIRST_OTHER, SECOND);

        assertEquals(attemptsBefore, host.attempts.size());
    }
}
