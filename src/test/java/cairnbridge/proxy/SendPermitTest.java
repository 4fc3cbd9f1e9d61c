package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import cairnbridge.admin.ProxyMetrics.AttemptRejection;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The order of the writes of attempts and of the revocation of their request's permit. */
@Timeout(20)
class SendPermitTest {
    private final TickClock clock = new TickClock();
    private final SendPermit request = new SendPermit();
    private final SendPermit attempt = request.forAttempt(Long.MAX_VALUE);
    private final List<String> order = new CopyOnWriteArrayList<>();

    /** Guards against an answer that overtakes the bytes of an attempt which is being written. */
    @Test
    void aRevocationWaitsForAWriteThatIsInProgress() throws Exception {
        CountDownLatch writing = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        Thread writer =
                ProxyTestSupport.daemon(
                        () ->
                                attempt.writeIfPermitted(
                                        clock,
                                        false,
                                        () -> {
                                            writing.countDown();
                                            ProxyTestSupport.awaitUninterrupted(release);
                                            order.add("written");
                                        }));
        writing.await();
        Thread answering =
                new Thread(
                        () -> {
                            request.revoke(AttemptRejection.OP_OVER);
                            order.add("revoked");
                        });
        answering.start();
        ProxyTestSupport.waitUntil(() -> answering.getState() == Thread.State.BLOCKED);

        release.countDown();
        writer.join();
        answering.join();

        assertEquals(List.of("written", "revoked"), order);
    }

    @Test
    void nothingIsWrittenAfterARevocation() throws Exception {
        assertNull(attempt.writeIfPermitted(clock, false, () -> order.add("first")));
        request.revoke(AttemptRejection.OP_OVER);

        AttemptRejection reason = attempt.writeIfPermitted(clock, true, () -> order.add("rest"));

        assertEquals(AttemptRejection.OP_OVER, reason);
        assertEquals(List.of("first"), order);
    }
}
