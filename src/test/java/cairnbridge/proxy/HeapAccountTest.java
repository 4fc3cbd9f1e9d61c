package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The account of the heap, for the largest fleet and the most connections. */
class HeapAccountTest {
    private static final int LARGEST_FLEET = 3201;
    private static final int MOST_CONNECTIONS = 1000;
    private static final int POINTS_OF_SIZE_1 = 256;

    /** The points of a node of size 4; larger ones have no more. */
    private static final int MOST_POINTS = 1024;

    private static final long HEAP_BYTES = 64 << 20;

    private static long deployedHeapBytes() throws IOException {
        String flags = Files.readString(Path.of("deploy/serve.args"));
        Matcher size = Pattern.compile("-Xmx(\\d+)m").matcher(flags);
        assertTrue(size.find(), flags);
        return Long.parseLong(size.group(1)) << 20;
    }

    private static HeapAccount account(long heapBytes, int nodes, int connections) {
        return account(heapBytes, nodes, connections, POINTS_OF_SIZE_1);
    }

    private static HeapAccount account(
            long heapBytes, int nodes, int connections, int pointsPerNode) {
        HeapAccount account = new HeapAccount(heapBytes);
        account.setNodeCount(() -> nodes);
        account.setRingPointCount(() -> nodes * pointsPerNode);
        account.setConnectionCount(() -> connections);
        return account;
    }

    /** Guards against limits whose sum is more than the heap of the deploy file holds. */
    @Test
    void theDeployedHeapHoldsTheLargestFleetAndTheMostConnections() throws IOException {
        long heapBytes = deployedHeapBytes();

        assertTrue(account(heapBytes, LARGEST_FLEET, MOST_CONNECTIONS).isBalanced());
        assertFalse(account(heapBytes / 2, LARGEST_FLEET, MOST_CONNECTIONS).isBalanced());
    }

    /** Guards against nodes whose points are in the heap and not in its account. */
    @Test
    void theDeployedHeapHoldsTheLargestFleetOfTheLargestNodes() throws IOException {
        long heapBytes = deployedHeapBytes();
        HeapAccount account = account(heapBytes, LARGEST_FLEET, MOST_CONNECTIONS, MOST_POINTS);

        assertTrue(account.isBalanced());
        long usualBytes = account(heapBytes, LARGEST_FLEET, MOST_CONNECTIONS).bodyBytes();
        assertTrue(account.bodyBytes() < usualBytes, account.bodyBytes() + " of " + usualBytes);
    }

    /** Guards against a crowd of clients whose bodies take the heap that their connections need. */
    @Test
    void nodesAndConnectionsTakeFromTheBytesForBodies() {
        long idleBytes = account(HEAP_BYTES, 0, 0).bodyBytes();
        long busyBytes = account(HEAP_BYTES, 200, 400).bodyBytes();
        long fullBytes = account(HEAP_BYTES, LARGEST_FLEET, 4 * MOST_CONNECTIONS).bodyBytes();

        assertTrue(busyBytes < idleBytes, busyBytes + " of " + idleBytes);
        assertTrue(fullBytes < busyBytes, fullBytes + " of " + busyBytes);
        assertTrue(fullBytes > 0, "no body is taken");
    }

    /** Guards against a body that is refused although the budget has room again. */
    @Test
    void theLimitOfABudgetFollowsTheAccount() {
        long[] limitBytes = {100};
        MemoryBudget budget = new MemoryBudget(() -> limitBytes[0]);
        assertTrue(budget.tryReserve(100));
        assertFalse(budget.tryReserve(1));

        limitBytes[0] = 200;

        assertTrue(budget.tryReserve(1));
        assertEquals(101, budget.reservedBytes());
    }
}
