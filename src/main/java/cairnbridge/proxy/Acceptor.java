package cairnbridge.proxy;

import cairnbridge.admin.ListeningSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Accepts connections on its own thread. Another process may listen on the same address. When a
 * listener closes, the system resets the connections that are left in its accept queue; {@link
 * #stop} therefore accepts all of them first. {@link ConnectionDiverter} directs new connections to
 * the other process meanwhile.
 */
public final class Acceptor implements Runnable {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final long BACKPRESSURE_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long ERROR_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** How long accepting is retried after a failure before the listener is closed. */
    private static final long FINAL_ACCEPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /**
     * The receive buffer of each client connection. A size that is set is not adapted by the
     * system, so that {@link ReadPauses} knows how much of a body can wait unread.
     */
    static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    private static final int PROBE_TIMEOUT_MILLIS = 500;
    private static final int NO_PROBE = -1;

    /** Accepts the next connection from the queue of a listener. */
    interface AcceptCall {
        /** Returns the next connection, or null if the queue is empty. */
        SocketChannel accept(ServerSocketChannel listener) throws IOException;
    }

    /** Takes over the connections that are accepted. */
    interface ChannelHandler {
        /**
         * Takes over a connection; called on the acceptor's thread.
         *
         * @param notQueuedTicks a time at which the client had not connected yet
         */
        void accept(SocketChannel channel, long notQueuedTicks);
    }

    private final AcceptCall acceptCall;
    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final BooleanSupplier canAccept;
    private final ChannelHandler channelHandler;
    private final TickClock clock;
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopped;

    /** How often the accept queue was found empty. */
    private final AtomicInteger emptyQueueCount = new AtomicInteger();

    /**
     * A time just before the accept queue was last found empty, in ticks. Acceptor's thread only.
     */
    private long emptyQueueTicks;

    /** The local port of the connection that {@link #receivesNewConnections} opens. */
    private volatile int probePort = NO_PROBE;

    private volatile boolean probeAccepted;

    /**
     * Opens the listener; connections are accepted once {@link #run} is called.
     *
     * @param backlog the capacity of the system's accept queue
     * @param canAccept checked before each accept; while it is false, connections stay in the queue
     *     unless the acceptor has been stopped
     * @param channelHandler takes over each connection
     * @param clock the clock of the times that the handler is given
     * @throws IOException if the address cannot be listened on
     */
    Acceptor(
            InetSocketAddress address,
            int backlog,
            BooleanSupplier canAccept,
            ChannelHandler channelHandler,
            TickClock clock)
            throws IOException {
        this(address, backlog, canAccept, channelHandler, clock, ServerSocketChannel::accept);
    }

    Acceptor(
            InetSocketAddress address,
            int backlog,
            BooleanSupplier canAccept,
            ChannelHandler channelHandler,
            TickClock clock,
            AcceptCall acceptCall)
            throws IOException {
        this.canAccept = canAccept;
        this.channelHandler = channelHandler;
        this.clock = clock;
        this.acceptCall = acceptCall;
        emptyQueueTicks = clock.now();
        selector = Selector.open();
        serverChannel =
                ListeningSocket.open(address, backlog, true, RECEIVE_BUFFER_BYTES, selector);
    }

    /** The local address of the listener. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /**
     * Whether the system gives new connections to this listener and not to another one on the same
     * address. Opens a connection to find out, which is then handled like any other. Called on
     * another thread than {@link #run}, while that runs.
     *
     * @throws IOException if no connection to the address can be opened, or the queue does not
     *     become empty
     */
    boolean receivesNewConnections() throws IOException, InterruptedException {
        probeAccepted = false;
        try (Socket probe = new Socket()) {
            probe.bind(null);
            probePort = probe.getLocalPort();
            probe.connect(address(), PROBE_TIMEOUT_MILLIS);
            awaitEmptyQueue();
            return probeAccepted;
        } finally {
            probePort = NO_PROBE;
        }
    }

    /** Returns once the queue has been found empty twice since the call. */
    private void awaitEmptyQueue() throws IOException, InterruptedException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_TIMEOUT_MILLIS);
        int emptyCountBefore = emptyQueueCount.get();
        // The first of the two checks may have begun before this call.
        while (emptyQueueCount.get() - emptyCountBefore < 2) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("timed out waiting for the accept queue to become empty");
            }
            selector.wakeup();
            Thread.sleep(1);
        }
    }

    /**
     * Accepts the connections in the system's queue, closes the listener, and returns once both are
     * done. Called on another thread than {@link #run}.
     */
    public void stop() throws InterruptedException {
        if (!stopped) {
            stopped = true;
            selector.wakeup();
        }
        closed.await();
    }

    @Override
    public void run() {
        try (selector;
                serverChannel) {
            while (!stopped) {
                long beforePollTicks = clock.now();
                if (selector.select(ArrivalBound.POLL_INTERVAL_MILLIS) > 0) {
                    selector.selectedKeys().clear();
                    acceptAll();
                } else {
                    recordEmptyQueue(beforePollTicks);
                }
            }
            acceptRemainingAndClose();
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "accepting has ended", e);
        } finally {
            closed.countDown();
        }
    }

    /**
     * Guards against a reset of connections in the queue: a listener that is registered with a
     * selector stays open after its close, and receives connections, until the selector selects
     * again. Its key is therefore cancelled first, and the listener is closed directly after the
     * last accept.
     */
    private void acceptRemainingAndClose() throws IOException {
        serverChannel.keyFor(selector).cancel();
        selector.selectNow();
        long deadlineNanos = System.nanoTime() + FINAL_ACCEPT_TIMEOUT_NANOS;
        boolean emptied = acceptAll();
        while (!emptied && System.nanoTime() - deadlineNanos < 0) {
            emptied = acceptAll();
        }
        serverChannel.close();
    }

    /** Accepts all connections in the queue; false if an accept failed and some may be left. */
    private boolean acceptAll() {
        try {
            long beforeAcceptTicks = clock.now();
            for (SocketChannel next = acceptNext(); next != null; next = acceptNext()) {
                recordProbe(next);
                channelHandler.accept(next, emptyQueueTicks);
                beforeAcceptTicks = clock.now();
            }
            recordEmptyQueue(beforeAcceptTicks);
            return true;
        } catch (IOException e) {
            // Guards against a thread that ends, or busy-loops, while no descriptor is free.
            LOG.log(Level.WARNING, "accept: {0}", e.toString());
            LockSupport.parkNanos(ERROR_PAUSE_NANOS);
            return false;
        }
    }

    private void recordEmptyQueue(long beforeCheckTicks) {
        emptyQueueTicks = beforeCheckTicks;
        emptyQueueCount.incrementAndGet();
    }

    /** Waits until accepting is allowed; returns the next connection, null if there is none. */
    private SocketChannel acceptNext() throws IOException {
        while (!stopped && !canAccept.getAsBoolean()) {
            LockSupport.parkNanos(BACKPRESSURE_PAUSE_NANOS);
        }
        return acceptCall.accept(serverChannel);
    }

    private void recordProbe(SocketChannel accepted) {
        int expectedPort = probePort;
        if (expectedPort != NO_PROBE && accepted.socket().getPort() == expectedPort) {
            probeAccepted = true;
        }
    }
}
