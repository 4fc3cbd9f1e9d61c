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
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Accepts connections on a thread of its own. Another process may listen on the same address: the
 * one that stops first accepts all that wait in its queue, as what is left in the queue of a closed
 * socket is reset. {@link ConnectionDiverter} keeps new ones from coming meanwhile.
 */
public final class Acceptor implements Runnable {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final long BACKPRESSURE_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long ERROR_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    /** For how long a failing accept is repeated before the listener is closed. */
    private static final long LAST_ACCEPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int PROBE_TIMEOUT_MILLIS = 500;
    private static final int NO_PROBE = -1;

    /** Takes the next connection from the queue of a listener. */
    interface AcceptCall {
        /** The next connection; null if there is none. */
        SocketChannel accept(ServerSocketChannel listener) throws IOException;
    }

    private final AcceptCall acceptCall;
    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final BooleanSupplier canAccept;
    private final Consumer<SocketChannel> channelHandler;
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopped;

    /** Counts how often the queue was found empty. */
    private final AtomicInteger emptyQueueCount = new AtomicInteger();

    /** The local port of the connection that {@link #receivesNewConnections} makes. */
    private volatile int probePort = NO_PROBE;

    private volatile boolean probeAccepted;

    /**
     * Opens the listener; connections are accepted once {@link #run} is called.
     *
     * @param backlog the most connections that wait in the system's queue
     * @param canAccept asked before each connection; while false, none is accepted unless the
     *     acceptor has been stopped
     * @param channelHandler given each connection, on the acceptor's thread
     * @throws IOException if the address cannot be listened on
     */
    Acceptor(
            InetSocketAddress address,
            int backlog,
            BooleanSupplier canAccept,
            Consumer<SocketChannel> channelHandler)
            throws IOException {
        this(address, backlog, canAccept, channelHandler, ServerSocketChannel::accept);
    }

    Acceptor(
            InetSocketAddress address,
            int backlog,
            BooleanSupplier canAccept,
            Consumer<SocketChannel> channelHandler,
            AcceptCall acceptCall)
            throws IOException {
        this.canAccept = canAccept;
        this.channelHandler = channelHandler;
        this.acceptCall = acceptCall;
        selector = Selector.open();
        serverChannel = ListeningSocket.open(address, backlog, true, selector);
    }

    /** The address it listens on. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /**
     * Whether this listener, and not another one on its address, is given new connections: makes
     * one, which it then handles like any other. Called while {@link #run} runs, on another thread.
     *
     * @throws IOException if no connection can be made to the address
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

    /** Returns once the queue was empty after this call, as seen by two looks in turn. */
    private void awaitEmptyQueue() throws IOException, InterruptedException {
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PROBE_TIMEOUT_MILLIS);
        int looksBefore = emptyQueueCount.get();
        // The first look may have begun before this call.
        while (emptyQueueCount.get() - looksBefore < 2) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("the queue of the listener does not become empty");
            }
            selector.wakeup();
            Thread.sleep(1);
        }
    }

    /**
     * Accepts what waits in the system's queue and closes the listener; returns once that is done.
     * Called on another thread than {@link #run}.
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
                selector.select();
                selector.selectedKeys().clear();
                acceptAll();
            }
            acceptLast();
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "accepting has ended", e);
        } finally {
            closed.countDown();
        }
    }

    /**
     * Guards against a client reset in the queue: what a selector knows stays open until that
     * selects again, and takes clients; so its key is cancelled first, and the listener is closed
     * right behind the last accept.
     */
    private void acceptLast() throws IOException {
        serverChannel.keyFor(selector).cancel();
        selector.selectNow();
        long deadlineNanos = System.nanoTime() + LAST_ACCEPT_NANOS;
        boolean emptied = acceptAll();
        while (!emptied && System.nanoTime() - deadlineNanos < 0) {
            emptied = acceptAll();
        }
        serverChannel.close();
    }

    /** Accepts what waits in the queue; false if an accept failed, and more may wait. */
    private boolean acceptAll() {
        try {
            for (SocketChannel next = acceptNext(); next != null; next = acceptNext()) {
                noteProbe(next);
                channelHandler.accept(next);
            }
            emptyQueueCount.incrementAndGet();
            return true;
        } catch (IOException e) {
            // Guards against a thread that ends, or spins, while the process is out of descriptors.
            LOG.log(Level.WARNING, "accept: {0}", e.toString());
            LockSupport.parkNanos(ERROR_PAUSE_NANOS);
            return false;
        }
    }

    /** Null if there is no connection to accept. */
    private SocketChannel acceptNext() throws IOException {
        while (!stopped && !canAccept.getAsBoolean()) {
            LockSupport.parkNanos(BACKPRESSURE_PAUSE_NANOS);
        }
        return acceptCall.accept(serverChannel);
    }

    private void noteProbe(SocketChannel accepted) {
        int expectedPort = probePort;
        if (expectedPort != NO_PROBE && accepted.socket().getPort() == expectedPort) {
            probeAccepted = true;
        }
    }
}
