import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Thousands of cache nodes, each at a port of its own, on one thread. All keys are stored. */
final class ManyNodes {
    private static final int WORK_MILLIS = 25;

    /** The bytes of a request that has not come whole, by connection. */
    private record Input(String uid, StringBuilder text) {}

    private final Rig rig;
    private final Selector selector = Selector.open();
    private final ScheduledExecutorService work = Executors.newScheduledThreadPool(2);
    private final Map<String, Integer> used = new ConcurrentHashMap<>();
    private final AtomicInteger open = new AtomicInteger();

    ManyNodes(Rig rig) throws IOException {
        this.rig = rig;
    }

    /** Opens a node's listener; returns its port. */
    int listen(String uid) throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        channel.bind(new InetSocketAddress(Rig.LOOPBACK, 0), 64);
        channel.configureBlocking(false);
        channel.register(selector, SelectionKey.OP_ACCEPT, uid);
        return channel.socket().getLocalPort();
    }

    /** The number of nodes that have had a request. */
    int usedNodes() {
        return used.size();
    }

    /** The number of open connections of the proxy. */
    int openConnections() {
        return open.get();
    }

    void start() {
        Thread thread = new Thread(this::serveAll, "nodes");
        thread.setDaemon(true);
        thread.start();
    }

    private void serveAll() {
        try {
            while (true) {
                selector.select();
                Iterator<SelectionKey> keys = selector.selectedKeys().iterator();
                while (keys.hasNext()) {
                    SelectionKey key = keys.next();
                    keys.remove();
                    serve(key);
                }
            }
        } catch (IOException e) {
            rig.log("nodes: " + e);
        }
    }

    private void serve(SelectionKey key) throws IOException {
        if (key.isAcceptable()) {
            SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
            if (accepted != null) {
                open.incrementAndGet();
                accepted.configureBlocking(false);
                accepted.socket().setTcpNoDelay(true);
                Input input = new Input((String) key.attachment(), new StringBuilder());
                accepted.register(selector, SelectionKey.OP_READ, input);
            }
            return;
        }
        SocketChannel channel = (SocketChannel) key.channel();
        if (!read(channel, (Input) key.attachment())) {
            channel.close();
            open.decrementAndGet();
        }
    }

    /** Reads what has come, and answers a whole request later; false at the connection's end. */
    private boolean read(SocketChannel channel, Input input) {
        ByteBuffer bytes = ByteBuffer.allocate(4096);
        try {
            if (channel.read(bytes) < 0) {
                return false;
            }
        } catch (IOException e) {
            return false;
        }
        input.text().append(new String(bytes.array(), 0, bytes.position(), StandardCharsets.US_ASCII));
        if (input.text().indexOf("\r\n\r\n") >= 0) {
            String target = input.text().substring(0, input.text().indexOf(" HTTP"));
            input.text().setLength(0);
            used.merge(input.uid(), 1, Integer::sum);
            rig.log(input.uid() + ": answers " + target);
            work.schedule(() -> answer(channel), WORK_MILLIS, TimeUnit.MILLISECONDS);
        }
        return true;
    }

    private static void answer(SocketChannel channel) {
        String answer =
                "HTTP/1.1 200 OK\r\nX-Store: hit\r\nContent-Length: 1000\r\n\r\n" + "x".repeat(1000);
        try {
            channel.write(ByteBuffer.wrap(answer.getBytes(StandardCharsets.US_ASCII)));
        } catch (IOException e) {
            // The proxy has closed the connection.
        }
    }
}
