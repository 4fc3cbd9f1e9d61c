package cairnbridge.admin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * The administration endpoint of a proxy: answers one request line per connection. It runs on a
 * dedicated thread that never blocks on other threads of the proxy.
 */
public final class AdminServer implements Runnable {
    /** The maximum number of open file descriptors, including the listener and the selector. */
    public static final int MAX_DESCRIPTORS = 36;

    private static final Logger LOG = Logger.getLogger(AdminServer.class.getName());
    private static final int MAX_CONNECTIONS = 32;
    private static final int SYSTEM_BACKLOG = 0;

    /** The system adapts the receive buffers. */
    private static final int ADAPTED_BUFFER = 0;

    private static final int SELECT_MILLIS = 200;

    private final AdminCommands commands;
    private final Selector selector;
    private final ServerSocketChannel listener;

    /** The open connections, oldest first. */
    private final List<AdminConnection> connections = new ArrayList<>();

    /** Connections whose answer was set by another thread and is not yet written. */
    private final Queue<AdminConnection> asyncAnswers = new ConcurrentLinkedQueue<>();

    private volatile boolean stopped;

    /**
     * Binds the address; requests are answered once {@link #run} is called.
     *
     * @throws IOException if the address cannot be bound
     */
    public AdminServer(InetSocketAddress address, AdminOperations operations, ProxyMetrics metrics)
            throws IOException {
        commands = new AdminCommands(operations, metrics);
        selector = Selector.open();
        listener = ListeningSocket.open(address, SYSTEM_BACKLOG, false, ADAPTED_BUFFER, selector);
    }

    /** The address that the endpoint listens on. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) listener.getLocalAddress();
    }

    /** Makes {@link #run} close all connections and return. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    @Override
    public void run() {
        try (selector;
                listener) {
            while (!stopped) {
                selectOnce();
            }
            List.copyOf(connections).forEach(AdminConnection::close);
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "admin: the endpoint has failed", e);
        }
    }

    private void selectOnce() throws IOException {
        selector.select(SELECT_MILLIS);
        for (SelectionKey key : selector.selectedKeys()) {
            if (key.isValid() && key.isAcceptable()) {
                accept();
            } else if (key.attachment() instanceof AdminConnection connection) {
                connection.handleReady();
            }
        }
        selector.selectedKeys().clear();
        for (AdminConnection next = asyncAnswers.poll(); next != null; next = asyncAnswers.poll()) {
            next.handleReady();
        }
        closeOverdue(System.nanoTime());
    }

    private void closeOverdue(long now) {
        for (AdminConnection connection : List.copyOf(connections)) {
            if (connection.isOverdue(now)) {
                connection.close();
            }
        }
    }

    private void accept() throws IOException {
        for (SocketChannel channel = acceptNext(); channel != null; channel = acceptNext()) {
            // Guards against idle clients that occupy all connections: the oldest is closed.
            if (connections.size() >= MAX_CONNECTIONS) {
                connections.get(0).close();
            }
            channel.configureBlocking(false);
            AdminConnection connection =
                    new AdminConnection(
                            channel, commands, this::onAsyncAnswer, connections::remove);
            connection.register(selector);
            connections.add(connection);
        }
    }

    /** Guards against an endpoint that stops when the process runs out of file descriptors. */
    private SocketChannel acceptNext() {
        try {
            return listener.accept();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "admin: a connection cannot be accepted, {0}", e.toString());
            return null;
        }
    }

    /** Queues a connection for writing and wakes the selector; thread-safe. */
    private void onAsyncAnswer(AdminConnection connection) {
        asyncAnswers.add(connection);
        selector.wakeup();
    }
}
