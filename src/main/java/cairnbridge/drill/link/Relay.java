package cairnbridge.drill.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Function;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * Stands on every way between two processes, UDP and TCP, on one thread: to each process that is
 * reached through it a port is opened, and who comes is told by the address that it comes from.
 * What the links' rules say is done to what passes. A stream that is cut stays open and silent, as
 * one through a broken network does.
 */
public final class Relay implements Runnable, AutoCloseable {
    private static final Logger LOG = Logger.getLogger(Relay.class.getName());
    private static final int BUFFER = 65_536;
    private static final int MOST_WAITING = 1 << 20;
    private static final int SENT_AGAIN_MILLIS = 200;

    private record Later(long due, long rank, Runnable what) implements Comparable<Later> {
        @Override
        public int compareTo(Later other) {
            return due != other.due ? Long.compare(due, other.due) : Long.compare(rank, other.rank);
        }
    }

    private final Links links;
    private final Selector selector = Selector.open();
    private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Later> later = new PriorityQueue<>();
    private final List<Half> halves = new ArrayList<>();
    private final Map<ServerSocketChannel, String> servers = new ConcurrentHashMap<>();
    private final ByteBuffer in = ByteBuffer.allocate(BUFFER);
    private final Thread thread = new Thread(this, "relay");
    private long rank;
    private volatile boolean stopped;

    /** A relay that follows the given rules; it runs until it is closed. */
    public Relay(Links links) throws IOException {
        this.links = links;
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * Opens a port, for both protocols, that leads to a process; who names the process behind an
     * address.
     */
    public InetSocketAddress open(
            String to, InetSocketAddress there, Function<InetAddress, String> who)
            throws IOException {
        for (int tries = 16; ; tries--) {
            ServerSocketChannel server = ServerSocketChannel.open();
            DatagramChannel datagrams = DatagramChannel.open();
            try {
                server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                InetSocketAddress at = (InetSocketAddress) server.getLocalAddress();
                datagrams.bind(at);
                listen(server, to, there, who);
                register(datagrams, SelectionKey.OP_READ, () -> pass(datagrams, to, there, who));
                return at;
            } catch (IOException e) {
                server.close();
                datagrams.close();
                if (tries <= 1) {
                    throw e;
                }
            }
        }
    }

    /** Opens a port for streams alone, of one process that comes and one that is reached. */
    public InetSocketAddress openStream(String from, String to, InetSocketAddress there)
            throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listen(server, to, there, address -> from);
        return (InetSocketAddress) server.getLocalAddress();
    }

    /** All ways to a process that has gone: who comes is refused, what is open is reset. */
    public void shut(String to) {
        tasks.add(
                () -> {
                    for (SelectionKey key : selector.keys()) {
                        if (key.isValid()
                                && key.channel() instanceof ServerSocketChannel server
                                && to.equals(servers.get(server))) {
                            servers.remove(server);
                            try {
                                server.close();
                            } catch (IOException e) {
                                LOG.log(Level.FINE, "relay: {0}", e.toString());
                            }
                        }
                    }
                    List.copyOf(halves).stream()
                            .filter(half -> half.receiver.equals(to))
                            .forEach(Half::shut);
                });
        selector.wakeup();
    }

    private void listen(
            ServerSocketChannel server,
            String to,
            InetSocketAddress there,
            Function<InetAddress, String> who)
            throws IOException {
        servers.put(server, to);
        register(server, SelectionKey.OP_ACCEPT, () -> accept(server, to, there, who));
    }

    private void register(java.nio.channels.SelectableChannel channel, int ops, Work work)
            throws IOException {
        channel.configureBlocking(false);
        tasks.add(
                () -> {
                    try {
                        channel.register(selector, ops, work);
                    } catch (IOException e) {
                        LOG.log(Level.WARNING, "relay: {0}", e.toString());
                    }
                });
        selector.wakeup();
    }

    private interface Work {
        void run() throws IOException;
    }

    @Override
    public void close() {
        stopped = true;
        selector.wakeup();
    }

    @Override
    public void run() {
        try (selector) {
            while (!stopped) {
                turn();
            }
            for (SelectionKey key : selector.keys()) {
                key.channel().close();
            }
        } catch (IOException e) {
            LOG.log(Level.SEVERE, "the relay has ended", e);
        }
    }

    private void turn() throws IOException {
        long wait =
                later.isEmpty()
                        ? 50
                        : Math.max(1, later.peek().due - System.nanoTime() / 1_000_000);
        selector.select(Math.min(50, wait));
        for (SelectionKey key : selector.selectedKeys()) {
            try {
                if (key.isValid()) {
                    ((Work) key.attachment()).run();
                }
            } catch (IOException e) {
                LOG.log(Level.FINE, "relay: {0}", e.toString()); // One process has gone.
            }
        }
        selector.selectedKeys().clear();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        while (!later.isEmpty() && later.peek().due <= System.nanoTime() / 1_000_000) {
            later.poll().what.run();
        }
        for (Half half : List.copyOf(halves)) {
            half.look();
        }
    }

    private void after(long millis, Runnable what) {
        if (millis <= 0) {
            what.run();
        } else {
            later.add(new Later(System.nanoTime() / 1_000_000 + millis, ++rank, what));
        }
    }

    private void pass(
            DatagramChannel channel,
            String to,
            InetSocketAddress there,
            Function<InetAddress, String> who)
            throws IOException {
        in.clear();
        for (InetSocketAddress from = (InetSocketAddress) channel.receive(in);
                from != null;
                from = (InetSocketAddress) channel.receive(in)) {
            byte[] bytes = new byte[in.flip().remaining()];
            in.get(bytes);
            in.clear();
            String sender = who.apply(from.getAddress());
            Links.Fate fate = links.fate(sender, to);
            for (int i = 0; i < fate.copies(); i++) {
                after(
                        i == 0 ? fate.delay() : fate.secondDelay(),
                        () -> {
                            try {
                                channel.send(ByteBuffer.wrap(bytes), there);
                            } catch (IOException e) {
                                LOG.log(
                                        Level.FINE,
                                        "relay: {0}",
                                        e.toString()); // Nobody listens there.
                            }
                        });
            }
        }
    }

    private void accept(
            ServerSocketChannel server,
            String to,
            InetSocketAddress there,
            Function<InetAddress, String> who)
            throws IOException {
        for (SocketChannel near = server.accept(); near != null; near = server.accept()) {
            String from = who.apply(((InetSocketAddress) near.getRemoteAddress()).getAddress());
            SocketChannel far = SocketChannel.open();
            near.configureBlocking(false);
            far.configureBlocking(false);
            Half forth = new Half(near, far, from, to);
            Half back = new Half(far, near, to, from);
            forth.other = back;
            back.other = forth;
            halves.add(forth);
            halves.add(back);
            near.register(selector, SelectionKey.OP_READ, (Work) forth::read);
            if (far.connect(there)) {
                far.register(selector, SelectionKey.OP_READ, (Work) back::read);
            } else {
                far.register(
                        selector,
                        SelectionKey.OP_CONNECT,
                        (Work) () -> connected(far, back, forth));
            }
        }
    }

    private void connected(SocketChannel far, Half back, Half forth) throws IOException {
        try {
            if (far.finishConnect()) {
                far.keyFor(selector).interestOps(SelectionKey.OP_READ);
                far.keyFor(selector).attach((Work) back::read);
                forth.look();
            }
        } catch (IOException e) {
            forth.shut(); // The process refuses; who came is reset as well.
        }
    }

    /** One way of a stream: what comes waits here until the rule lets it pass. */
    private final class Half {
        private final SocketChannel from;
        private final SocketChannel to;
        private final String sender;
        private final String receiver;
        private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
        private Half other;
        private long bytes;
        private long readyAt;
        private boolean ended;
        private boolean closed;

        Half(SocketChannel from, SocketChannel to, String sender, String receiver) {
            this.from = from;
            this.to = to;
            this.sender = sender;
            this.receiver = receiver;
        }

        void read() throws IOException {
            in.clear();
            int count;
            try {
                count = from.read(in);
            } catch (IOException e) {
                shut();
                return;
            }
            if (count < 0) {
                ended = true;
                SelectionKey key = from.keyFor(selector);
                if (key != null && key.isValid()) {
                    key.interestOps(0);
                }
            } else if (count > 0) {
                ByteBuffer copy = ByteBuffer.allocate(count).put(in.flip()).flip();
                waiting.add(copy);
                bytes += count;
                LinkRule rule = links.rule(sender, receiver);
                long late =
                        rule.delay()
                                + (rule.loss() > 0 && links.fate(sender, receiver).copies() == 0
                                        ? SENT_AGAIN_MILLIS
                                        : 0);
                readyAt = Math.max(readyAt, System.nanoTime() / 1_000_000 + late);
                if (bytes > MOST_WAITING) {
                    shut();
                }
            }
            look();
        }

        /** Passes on what may go by now. */
        void look() {
            if (closed
                    || links.rule(sender, receiver).cut()
                    || System.nanoTime() / 1_000_000 < readyAt
                    || !to.isConnected()) {
                return;
            }
            try {
                while (!waiting.isEmpty()) {
                    bytes -= to.write(waiting.peek());
                    if (waiting.peek().hasRemaining()) {
                        return;
                    }
                    waiting.poll();
                }
                if (ended) {
                    to.shutdownOutput();
                    closed = true;
                    halves.remove(this);
                    if (other.closed) {
                        shut();
                    }
                }
            } catch (IOException e) {
                shut();
            }
        }

        void shut() {
            for (Half half : List.of(this, other)) {
                half.closed = true;
                halves.remove(half);
                try {
                    half.from.close();
                } catch (IOException e) {
                    LOG.log(Level.FINE, "relay: {0}", e.toString());
                }
            }
        }
    }
}
