package cairnbridge.scale.datapath;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Stand-in cache nodes, a loopback port each, that answer every request at once with a hit. */
final class CacheNodes implements AutoCloseable {
    private static final int BACKLOG = 64;

    private final Selector selector = Selector.open();
    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final LongAdder answers = new LongAdder();
    private volatile byte[] body = {};

    CacheNodes(int nodes) throws IOException {
        for (int node = 0; node < nodes; node++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listeners.add(listener);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT);
        }
        daemon("cache nodes", this::accept);
    }

    private static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** One address a node. */
    List<InetSocketAddress> addresses() throws IOException {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (ServerSocketChannel listener : listeners) {
            addresses.add((InetSocketAddress) listener.getLocalAddress());
        }
        return addresses;
    }

    /** Every answer from now on has a body of so many bytes. */
    void answerWith(int bytes) {
        body = new byte[bytes];
    }

    long answers() {
        return answers.sum();
    }

    private void accept() {
        try {
            while (selector.isOpen()) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    SocketChannel connection = ((ServerSocketChannel) key.channel()).accept();
                    if (connection != null) {
                        connection.setOption(StandardSocketOptions.TCP_NODELAY, true);
                        daemon("cache connection", () -> serve(connection.socket()));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | ClosedSelectorException e) {
            // It is closed: no node listens any more.
        }
    }

    private void serve(Socket socket) {
        connections.add(socket);
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = new BufferedOutputStream(socket.getOutputStream());
            Optional<HttpHead> request = HttpHead.read(in);
            while (request.isPresent()) {
                in.skipNBytes(request.get().contentLength());
                answer(out);
                request = HttpHead.read(in);
            }
        } catch (IOException e) {
            // The proxy has closed this connection.
        } finally {
            connections.remove(socket);
        }
    }

    private void answer(OutputStream out) throws IOException {
        byte[] bytes = body;
        String head =
                "HTTP/1.1 200 OK\r\nX-Store: hit\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        out.write(head.getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.flush();
        answers.increment();
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (ServerSocketChannel listener : listeners) {
            listener.close();
        }
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
