package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.junit.jupiter.api.Test;

/** The memory that the buffered bodies of requests share, and the wait for it. */
class RequestBodyTest {
    private static final int BODY_BYTES = 60_000;

    private final MemoryBudget budget = new MemoryBudget(2 * MemoryBudget.GRANT_BYTES);
    private final List<RequestMemory> memories = new ArrayList<>();

    private RequestBody createBody() {
        RequestMemory memory = new RequestMemory(budget);
        memories.add(memory);
        RequestBody body = new RequestBody(memory, () -> 0);
        body.expect(new BasicEntityDetails(BODY_BYTES, null));
        return body;
    }

    private static int grantedBytes(RequestBody body) throws IOException {
        AtomicInteger granted = new AtomicInteger();
        body.requestCapacity(granted::addAndGet);
        return granted.get();
    }

    /** Guards against clients that together send more than the heap holds. */
    @Test
    void aBodyWaitsUntilMemoryIsReturned() throws IOException {
        RequestBody first = createBody();
        assertEquals(MemoryBudget.GRANT_BYTES, grantedBytes(first));
        RequestBody second = createBody();
        AtomicInteger grantedToSecond = new AtomicInteger();
        second.tryBuffer(ByteBuffer.allocate(MemoryBudget.GRANT_BYTES));
        second.requestCapacity(grantedToSecond::addAndGet);
        assertEquals(0, grantedToSecond.get());
        assertTrue(second.isBackpressured());

        first.releaseBuffer();

        assertEquals(MemoryBudget.GRANT_BYTES, grantedToSecond.get());
        assertFalse(second.isBackpressured());
        assertTrue(second.unreadNanos() > 0);
        assertEquals(2 * MemoryBudget.GRANT_BYTES, budget.reservedBytes());
    }

    /** Guards against a wait without an end after the client that waited first has left. */
    @Test
    void aClientThatLeavesWhileItWaitsDoesNotKeepOthersWaiting() throws IOException {
        RequestBody holder = createBody();
        holder.tryBuffer(ByteBuffer.allocate(MemoryBudget.GRANT_BYTES));
        assertEquals(MemoryBudget.GRANT_BYTES, grantedBytes(holder));
        RequestBody leaving = createBody();
        assertEquals(0, grantedBytes(leaving));
        RequestBody waiting = createBody();
        AtomicInteger granted = new AtomicInteger();
        waiting.requestCapacity(granted::addAndGet);

        leaving.releaseBuffer();
        memories.get(1).close();
        assertEquals(0, granted.get());
        holder.releaseBuffer();

        assertEquals(MemoryBudget.GRANT_BYTES, granted.get());
    }

    /** Guards against a budget that shrinks with each request, because a part is not returned. */
    @Test
    void aCompleteBodyHoldsItsLengthUntilItsRequestIsOver() throws IOException {
        RequestBody body = createBody();
        body.tryBuffer(ByteBuffer.allocate(3000));
        assertEquals(MemoryBudget.GRANT_BYTES, grantedBytes(body));

        body.completeBuffered();
        assertEquals(3000, budget.reservedBytes());
        assertEquals(3000, body.bytes().length);

        memories.get(0).close();
        assertEquals(0, budget.reservedBytes());
    }
}
