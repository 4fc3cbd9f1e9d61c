package cairnbridge.proxy;

import cairnbridge.admin.ListeningSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Accepts connections on a thread of its own. Another process may listen on the same address: the
 * one that stops first accepts all that wait in its queue, as what is left in the queue of a closed
 * socket is reset.
 */
public final class Acceptor implements Runnable {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final long BACKPRESSURE_PAUSE_NANOS = TimeUnit.MICROSECONDS.toNanos(200);
    private static final long ERROR_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(5);

    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final BooleanSupplier canAccept;
    private final Consumer<SocketChannel> channelHandler;
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopped;

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
        this.canAccept = canAccept;
        this.channelHandler = channelHandler;
        selector = Selector.open();
        serverChannel = ListeningSocket.open(address, backlog, true, selector);
    }

    /** The address it listens on. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) serverChannel.getLocalAddress();
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
        acceptAll();
        serverChannel.close();
    }

    private void acceptAll() {
        for (SocketChannel channel = acceptNext(); channel != null; channel = acceptNext()) {
            channelHandler.accept(channel);
        }
    }

    /** Null if there is no connection to accept. */
    private SocketChannel acceptNext() {
        while (!stopped && !canAccept.getAsBoolean()) {
            LockSupport.parkNanos(BACKPRESSURE_PAUSE_NANOS);
        }
        try {
            return serverChannel.accept();
        } catch (IOException e) {
            // Guards against a thread that ends, or spins, while the process is out of descriptors.
            LOG.log(Level.WARNING, "accept: {0}", e.toString());
            LockSupport.parkNanos(ERROR_PAUSE_NANOS);
            return null;
        }
    }
}
