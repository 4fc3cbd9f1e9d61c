package cairnbridge.proxy;

import cairnbridge.admin.ListeningSocket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Takes connections off the system's queue, on a thread of its own. Another process may listen at
 * the same address: whoever stops first empties its queue, as what is left in the queue of a closed
 * socket is reset.
 */
final class Acceptor implements Runnable {
    private static final Logger LOG = Logger.getLogger(Acceptor.class.getName());
    private static final int BACKPRESSURE_PAUSE_NANOS = 200_000;
    private static final int ERROR_PAUSE_NANOS = 5_000_000;

    private final ServerSocketChannel serverChannel;
    private final Selector selector;
    private final BooleanSupplier canAccept;
    private final Consumer<SocketChannel> channelHandler;
    private final CountDownLatch closed = new CountDownLatch(1);
    private volatile boolean stopped;

    /** mayTake holds it back while the taker is behind. */
    Acceptor(
            InetSocketAddress address,
            int backlog,
            BooleanSupplier mayTake,
            Consumer<SocketChannel> taker)
            throws IOException {
        this.canAccept = mayTake;
        this.channelHandler = taker;
        selector = Selector.open();
        serverChannel = ListeningSocket.open(address, backlog, true, selector);
    }

    InetSocketAddress address() throws IOException {
        return (InetSocketAddress) serverChannel.getLocalAddress();
    }

    /** Empties the queue and closes; returns once that is done. */
    void stop() throws InterruptedException {
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
            // Guards against a client reset in the queue: what a selector knows stays open until
            // that looks
            // again, and takes clients; so it is let go first, and closed right behind the last
            // accept.
            serverChannel.keyFor(selector).cancel();
            selector.selectNow();
            acceptAll();
            serverChannel.close();
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "accepting has ended", e);
        } finally {
            closed.countDown();
        }
    }

    private void acceptAll() {
        for (SocketChannel next = acceptNext(); next != null; next = acceptNext()) {
            channelHandler.accept(next);
        }
    }

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
