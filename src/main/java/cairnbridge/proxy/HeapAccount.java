package cairnbridge.proxy;

import java.util.function.IntSupplier;

/**
 * The account of the heap: what the parts of a proxy with a size of their own need, and what is
 * left for the bodies of requests and answers. docs/CAPACITY.md has the account in full.
 * Thread-safe.
 */
public final class HeapAccount {
    /** The classes, tables and threads of a proxy without nodes and connections. */
    private static final long PROGRAM_BYTES = 5 << 20;

    /** The longest message of discovery, and what is made of it until it is applied. */
    private static final long LIST_BYTES = 5 << 20;

    /** A listed node without its points on the ring: its state and its entries in tables. */
    private static final long NODE_BYTES = 1552;

    /** A point on the ring. */
    private static final long RING_POINT_BYTES = 4;

    /**
     * An open connection: the library's buffers and objects, and the bytes that are received before
     * a budget is asked.
     */
    private static final long CONNECTION_BYTES = 22 * 1024;

    /**
     * The bytes for bodies that are left however many nodes and connections there are, less the
     * points on the ring.
     */
    private static final long MIN_BODY_AND_RING_BYTES = 6 << 20;

    /** The bytes for bodies that are left however large the ring is as well. */
    private static final long MIN_BODY_BYTES = 1 << 20;

    /** The share of the heap that can be in use: the collector keeps the rest free. */
    private static final double USABLE_SHARE = 0.96;

    private final long usableBytes;
    private volatile IntSupplier nodeCount = () -> 0;
    private volatile IntSupplier ringPointCount = () -> 0;
    private volatile IntSupplier connectionCount = () -> 0;

    /**
     * Creates an account of a heap without nodes and connections.
     *
     * @param heapBytes the largest size of the heap
     */
    public HeapAccount(long heapBytes) {
        usableBytes = (long) (USABLE_SHARE * heapBytes);
    }

    /** Creates an account of this process's heap. */
    static HeapAccount ofProcess() {
        return new HeapAccount(Runtime.getRuntime().maxMemory());
    }

    /** Sets the number of listed nodes. */
    void setNodeCount(IntSupplier count) {
        nodeCount = count;
    }

    /** Sets the number of points on the ring. */
    void setRingPointCount(IntSupplier count) {
        ringPointCount = count;
    }

    /** Sets the number of open connections. */
    void setConnectionCount(IntSupplier count) {
        connectionCount = count;
    }

    /** The bytes that all bodies together may occupy at present. */
    public long bodyBytes() {
        return Math.max(minBodyBytes(), usableBytes - occupiedBytes());
    }

    /** Whether the heap is large enough for all parts and the least bytes for bodies. */
    boolean isBalanced() {
        return occupiedBytes() + minBodyBytes() <= usableBytes;
    }

    private long minBodyBytes() {
        return Math.max(MIN_BODY_BYTES, MIN_BODY_AND_RING_BYTES - ringBytes());
    }

    private long ringBytes() {
        return ringPointCount.getAsInt() * RING_POINT_BYTES;
    }

    private long occupiedBytes() {
        return PROGRAM_BYTES
                + LIST_BYTES
                + nodeCount.getAsInt() * NODE_BYTES
                + ringBytes()
                + connectionCount.getAsInt() * CONNECTION_BYTES;
    }
}
