package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.ref.WeakReference;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Requests that come again with the same trace id after their client has left. */
class RepeatedRequestsTest extends ProxyTestSupport {
    private static final String NEVER_RAN = "503 Full|X-Never-Ran: 1|";
    private static final long SECOND = TickClock.TICKS_PER_SECOND;

    private final AbandonedTraceIds ids = new AbandonedTraceIds();

    /** Guards against an at-most-once request that runs a second time. */
    @Test
    void anAtMostOnceRequestThatMayHaveRunIsNotForwardedAgainAfterItsClientLeft() throws Exception {
        originHandler = request -> SILENT;
        start();
        leaveAfter("PUT /loan/1", origin);

        assertEquals(409, statusCode(sendRequest("PUT /loan/1", ttlHeader(900), "")));
        assertEquals(1, origin.requests.size());
    }

    @Test
    void anIdempotentRequestIsForwardedAgain() throws Exception {
        cacheHandler = request -> cache.requests.size() == 1 ? SILENT : HIT;
        start();
        leaveAfter("GET /view/1", cache);

        assertEquals(200, statusCode(sendRequest("GET /view/1", ttlHeader(900), "")));
    }

    /** Sends a request, waits until it has reached the server, and leaves. */
    private void leaveAfter(String requestLine, StubServer server) throws Exception {
        Socket client = connectClient();
        send(client, requestLine, ttlHeader(900), "");
        waitUntil(() -> server.requests.size() == 1);
        int descriptors = proxy.openDescriptors();
        client.close();
        waitUntil(() -> proxy.openDescriptors() < descriptors);
    }

    /** Guards against an at-most-once request that runs a second time through a new process. */
    @Test
    void anIdIsKnownToTheOtherProcessOfAnUpgrade() throws Exception {
        originHandler = request -> SILENT;
        start();
        leaveAfter("PUT /loan/1", origin);
        String list =
                endpointListJson(1, true, endpointJson("o", origin.address(), "origin", "Ready"));
        proxy = startServer(list);

        assertEquals(409, statusCode(sendRequest("PUT /loan/1", ttlHeader(900), "")));
        assertEquals(1, origin.requests.size());
    }

    /** Guards against a repeat that is rejected although the first request provably never ran. */
    @Test
    void aRequestThatProvablyNeverRanIsForwardedAgainAfterItsClientLeft() throws Exception {
        CountDownLatch outcomeKnown = new CountDownLatch(1);
        CountDownLatch clientLeft = new CountDownLatch(1);
        closeables.add(clientLeft::countDown);
        clock =
                new TickClock() {
                    @Override
                    long now() {
                        if (isOwnerThread() && isCalledBy("handleAttemptCompleted")) {
                            outcomeKnown.countDown();
                            awaitUninterrupted(clientLeft);
                        }
                        return super.now();
                    }
                };
        originHandler = request -> origin.requests.size() == 1 ? NEVER_RAN : "200 OK||done";
        start();
        Socket client = connectClient();
        send(client, "PUT /loan/1", ttlHeader(900), "");
        outcomeKnown.await();
        int descriptors = proxy.openDescriptors();
        client.close();
        waitUntil(() -> proxy.openDescriptors() < descriptors);
        clientLeft.countDown();

        assertEquals(200, statusCode(sendRequest("PUT /loan/1", ttlHeader(900), "")));
        assertEquals(2, origin.requests.size());
    }

    private static boolean isOwnerThread() {
        return Thread.currentThread().getName().equals(ProxyServer.OWNER_THREAD_NAME);
    }

    private static boolean isCalledBy(String method) {
        return StackWalker.getInstance()
                .walk(frames -> frames.anyMatch(frame -> frame.getMethodName().equals(method)));
    }

    @Test
    void idsAreForgottenWhenTheyAreOldOrTooMany() {
        ids.add("old", 0);
        assertTrue(ids.contains("old", 60 * SECOND - 1));
        assertFalse(ids.contains("old", 60 * SECOND));
        for (int i = 0; i <= AbandonedTraceIds.MAX_IDS; i++) {
            ids.add("id-" + i, 100 * SECOND);
        }
        assertFalse(ids.contains("id-0", 100 * SECOND));
        assertTrue(ids.contains("id-1", 100 * SECOND));
    }

    /** Guards against long ids that fill the heap although their number is limited. */
    @Test
    void theTextOfARememberedIdIsNotKept() {
        String id = "a".repeat(4000);
        WeakReference<String> held = new WeakReference<>(id);
        ids.add(id, 0);
        id = null;
        for (int i = 0; i < 10 && held.get() != null; i++) {
            System.gc();
        }
        assertNull(held.get(), "the id is still held");
    }
}
