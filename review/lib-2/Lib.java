import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntConsumer;
import java.util.function.IntPredicate;

/** What the cases 6 to 10 share: stand-ins, the start of a proxy, and the record. */
final class Lib {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    private Lib() {}

    /** Whether the case plays its disruption; TROUBLE=0 leaves it out. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** The record of one run: what was sent, answered and run, each line with its time. */
    static final class Record {
        private final long startNanos = System.nanoTime();
        private final PrintWriter out;

        Record(Path file) throws IOException {
            out = new PrintWriter(Files.newBufferedWriter(file));
        }

        double millis() {
            return (System.nanoTime() - startNanos) / 1e6;
        }

        synchronized void line(String format, Object... values) {
            String text = String.format(Locale.ROOT, format, values);
            out.printf(Locale.ROOT, "%10.1f  %s%n", millis(), text);
            out.flush();
        }
    }

    /** One run of a case: its folder, its record, and what has to be ended afterwards. */
    static final class Run {
        final Path root;
        final Path temporary;
        final Record record;
        private final List<Closeable> closeables = new ArrayList<>();

        private Run(Path folder) throws IOException {
            root = folder.toAbsolutePath().getParent().getParent();
            temporary = Files.createTempDirectory("review-");
            record = new Record(folder.resolve("record.txt"));
            record.line("case %s, trouble %s", folder.getFileName(), trouble());
        }

        synchronized <T extends Closeable> T add(T closeable) {
            closeables.add(closeable);
            return closeable;
        }

        private synchronized void close() {
            for (int i = closeables.size() - 1; i >= 0; i--) {
                try {
                    closeables.get(i).close();
                } catch (IOException e) {
                    record.line("close: %s", e);
                }
            }
            closeables.clear();
            try (var files = Files.walk(temporary)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            } catch (IOException e) {
                record.line("temporary folder: %s", e);
            }
        }
    }

    interface Body {
        /** Returns HELD, BROKEN or COULD_NOT_RUN. */
        int play(Run run) throws Exception;
    }

    /** Plays a case and ends this process with its status, after 110 seconds at the latest. */
    static void play(String[] args, Body body) {
        Run run;
        try {
            run = new Run(Path.of(args[0]));
        } catch (IOException e) {
            System.out.println("the case could not run: " + e);
            System.exit(COULD_NOT_RUN);
            return;
        }
        Runtime.getRuntime().addShutdownHook(new Thread(run::close));
        start(
                "watchdog",
                () -> {
                    sleep(110_000);
                    run.record.line("the case took too long");
                    System.exit(COULD_NOT_RUN);
                });
        int status;
        try {
            status = body.play(run);
        } catch (Exception | Error e) {
            run.record.line("the case could not run: %s", e);
            status = COULD_NOT_RUN;
        }
        String verdict = status == HELD ? "held" : status == BROKEN ? "broken" : "could not run";
        run.record.line("verdict: %s", verdict);
        System.out.println(Path.of(args[0]).getFileName() + ": " + verdict);
        System.exit(status);
    }

    // HTTP

    /** The head of a message, its header names in lower case. */
    static final class Head {
        String first;
        final Map<String, String> headers = new LinkedHashMap<>();

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(first.split(" ")[1]);
        }

        String target() {
            return first.split(" ")[1];
        }

        String method() {
            return first.split(" ")[0];
        }
    }

    /** Reads a head; null if the connection ends before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        head.first = line;
        for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        if (line == null) {
            throw new EOFException("head broke off");
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("line broke off");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    /** Reads the whole body that a head announces. */
    static byte[] readBody(Head head, InputStream in) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException("body broke off");
                }
                int bytes = Integer.parseInt(size.split(";")[0].strip(), 16);
                body.write(readExactly(in, bytes));
                if (bytes == 0) {
                    while (!String.valueOf(readLine(in)).isEmpty()) {
                        // A trailer.
                    }
                    return body.toByteArray();
                }
                readLine(in);
            }
        }
        String length = head.header("content-length");
        return readExactly(in, length == null ? 0 : Integer.parseInt(length));
    }

    private static byte[] readExactly(InputStream in, int bytes) throws IOException {
        byte[] body = in.readNBytes(bytes);
        if (body.length < bytes) {
            throw new EOFException("body broke off");
        }
        return body;
    }

    /** A server on a loopback address with a thread for each connection. */
    abstract static class Server implements Closeable {
        final ServerSocket listener;
        private final List<Socket> sockets = new ArrayList<>();

        Server(String name) throws IOException {
            listener = new ServerSocket(0, 500, InetAddress.getByName("127.0.0.1"));
            Lib.start(name, this::acceptAll);
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        private void acceptAll() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    synchronized (sockets) {
                        sockets.removeIf(Socket::isClosed);
                        sockets.add(socket);
                    }
                    Lib.start("connection", () -> serveQuietly(socket));
                } catch (IOException e) {
                    return;
                }
            }
        }

        final void serveQuietly(Socket socket) {
            try (socket) {
                serve(socket);
            } catch (IOException e) {
                // The proxy has closed the connection, or the case is over.
            }
        }

        abstract void serve(Socket socket) throws IOException;

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    /** Discovery: the whole list, and a watch with an empty line every 2 s. */
    static class Discovery extends Server {
        private long rev = 1;
        private String targets = "";

        Discovery() throws IOException {
            super("discovery");
        }

        /** Replaces the list; each entry is an object in discovery's form. */
        synchronized void set(List<String> entries) {
            rev++;
            targets = String.join(",", entries);
            notifyAll();
        }

        static String entry(String uid, String endpoint, String model, double size) {
            return String.format(
                    Locale.ROOT,
                    "{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"bangna\",\"model\":\"%s\","
                            + "\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":%s,\"boot_ms\":0}",
                    uid, endpoint, model, size);
        }

        synchronized String list() {
            return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + targets + "]}";
        }

        private synchronized long awaitChange(long known, long millis) {
            long end = System.nanoTime() + millis * 1_000_000;
            while (rev == known) {
                long left = (end - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            }
            return rev;
        }

        /** Writes one line of a watch. */
        void writeLine(OutputStream out, String line) throws IOException {
            out.write(ascii(chunk(line + "\n")));
            out.flush();
        }

        static String chunk(String text) {
            return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
        }

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            Head head = readHead(in);
            if (head == null) {
                return;
            }
            if (!head.target().contains("watch=1")) {
                String list = list();
                out.write(
                        ascii(
                                "HTTP/1.1 200 OK\r\nContent-Length: "
                                        + list.length()
                                        + "\r\nConnection: close\r\n\r\n"
                                        + list));
                return;
            }
            out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
            long told = 0;
            while (true) {
                long now = awaitChange(told, 2000);
                writeLine(out, now == told ? "" : list());
                told = now;
            }
        }
    }

    /** A cache node or the origin. */
    abstract static class Node extends Server {
        final String uid;

        Node(String uid) throws IOException {
            super(uid);
            this.uid = uid;
        }

        /** Answers a request whose last byte has come. */
        abstract void answer(Head head, byte[] body, OutputStream out) throws IOException;

        @Override
        void serve(Socket socket) throws IOException {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Head head = readHead(in); head != null; head = readHead(in)) {
                answer(head, readBody(head, in), out);
            }
        }

        static byte[] response(int status, String headers, String body) {
            return ascii(
                    "HTTP/1.1 "
                            + status
                            + " X\r\n"
                            + headers
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body);
        }
    }

    /** A connection of a client. */
    static final class Client implements Closeable {
        final Socket socket = new Socket();
        final InputStream in;
        final OutputStream out;

        Client(InetSocketAddress proxy) throws IOException {
            socket.connect(proxy, 2000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Reads the head of an answer; the end of the connection before it is an exception. */
        Head readAnswer() throws IOException {
            Head head = readHead(in);
            if (head == null) {
                throw new EOFException("the connection ended with no answer");
            }
            return head;
        }

        void send(String text) throws IOException {
            out.write(ascii(text));
            out.flush();
        }

        static String head(String method, String path, String id, int ttlMillis, String more) {
            return method
                    + " "
                    + path
                    + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: "
                    + id
                    + "\r\nX-Expires-In: "
                    + ttlMillis
                    + "m\r\n"
                    + more
                    + "\r\n";
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** A client that keeps its connection, and opens another one when the proxy ends it. */
    static final class Caller implements Closeable {
        private final InetSocketAddress proxy;
        private Client client;

        /** The body of the latest answer. */
        String body = "";

        Caller(InetSocketAddress proxy) {
            this.proxy = proxy;
        }

        /** Sends a request and returns the head of its answer. */
        Head call(String request) throws IOException {
            if (client == null) {
                client = new Client(proxy);
                client.socket.setSoTimeout(10_000);
            }
            client.send(request);
            Head head = client.readAnswer();
            body = new String(readBody(head, client.in), StandardCharsets.ISO_8859_1);
            if ("close".equalsIgnoreCase(head.header("connection"))) {
                close();
            }
            return head;
        }

        @Override
        public void close() throws IOException {
            if (client != null) {
                client.close();
                client = null;
            }
        }
    }

    // The proxy

    /**
     * A free port of a loopback address that is this run's own, so that no other run and none of
     * the stand-ins, which are at 127.0.0.1, takes it before the proxy does.
     */
    private static InetSocketAddress freeAddress() throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String host =
                String.format(
                        "127.%d.%d.%d",
                        random.nextInt(1, 255), random.nextInt(1, 255), random.nextInt(1, 255));
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return new InetSocketAddress(host, socket.getLocalPort());
        }
    }

    /** A proxy process, started by the command of the deploy file. */
    static final class Proxy implements Closeable {
        final Process process;
        final InetSocketAddress address;
        private final Run run;
        private final String name;

        /** Starts a process; {@link #awaitReady} waits until it is ready. */
        Proxy(Run run, String name, InetSocketAddress address, String json)
                throws IOException {
            this.run = run;
            this.name = name;
            this.address = address;
            Path config = Files.writeString(run.temporary.resolve(name + ".json"), json);
            Path state = Files.createDirectory(run.temporary.resolve(name));
            String command = deployCommand(run.root);
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command);
            builder.directory(run.root.toFile());
            builder.environment().put("LB_CONFIG", config.toString());
            builder.environment().put("TMPDIR", state.toString());
            builder.redirectErrorStream(true);
            process = builder.start();
            run.add(this);
            run.record.line("proxy %s: process %d, %s", name, process.pid(), command);
            Lib.start("log of " + name, this::copyLog);
        }

        private static String deployCommand(Path root) throws IOException {
            for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
                if (line.startsWith("run = \"")) {
                    return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                }
            }
            throw new IOException("the deploy file has no run");
        }

        private void copyLog() {
            try (var log = process.inputReader()) {
                for (String line = log.readLine(); line != null; line = log.readLine()) {
                    run.record.line("log of %s: %s", name, line);
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        /** Waits until GET /-/ready is answered with 200. */
        void awaitReady() throws IOException {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    throw new IOException(name + " ended with " + process.exitValue());
                }
                if (isReady()) {
                    run.record.line("proxy %s is ready", name);
                    return;
                }
                sleep(100);
            }
            throw new IOException(name + " is not ready after 30 s");
        }

        boolean isReady() {
            try (Client client = new Client(address)) {
                client.socket.setSoTimeout(1000);
                client.send("GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n");
                Head head = readHead(client.in);
                return head != null && head.status() == 200;
            } catch (IOException e) {
                return false;
            }
        }

        @Override
        public void close() {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static String category(String name, String effect, double target, double ttl) {
        return String.format(
                Locale.ROOT,
                "{\"name\":\"%s\",\"effect\":\"%s\",\"group\":\"all\",\"memory-span-s\":1.2,"
                        + "\"target-latency-s\":%s,\"ttl-s\":%s,\"benefit\":5.0,"
                        + "\"overdue-benefit\":0.3,\"stream\":false}",
                name, effect, target, ttl);
    }

    /** Settings with the figures of bangkok-sheets, for one proxy. */
    private static String settings() {
        return "{\"azs\":[\"bangna\",\"lat-krabang\",\"nonthaburi\",\"rangsit\"],"
                + "\"benefit-by\":\"request\",\"callers\":{\"marks-retry\":false},\"categories\":["
                + category("sheet-view", "repeatable", 0.3, 0.75)
                + ","
                + category("loan-record", "once", 0.3, 1.2)
                + ","
                + category("label-fix", "by_key", 0.75, 2.0)
                + "],\"domain\":{\"mode\":\"aside\",\"origin-fall-multiple\":0.0,"
                + "\"origin-fall-s\":3.0,\"origin-kind\":3},\"domain-type\":\"cache\","
                + "\"excess-benefit\":0.1,\"granularity-s\":0.005,"
                + "\"host-types\":[\"fast-1\",\"std-1\",\"slow-1\",\"origin\"],\"instances\":1,"
                + "\"limits\":{\"cancel\":true,\"dial-timeout-s\":0.12,\"keepalive-s\":60.0,"
                + "\"max-open\":20000,\"max-retry-after-s\":2.0,\"may-probe\":true,"
                + "\"most-pushes\":6,\"peer-messages\":false,\"retry-after\":true,"
                + "\"second-copies\":true,\"streams-per-conn\":1},"
                + "\"load-info\":{\"columns\":[],\"how\":\"none\"},\"me\":0,"
                + "\"registry-mode\":\"automatic\",\"rules\":{\"answer-slack-s\":0.02,"
                + "\"ask-within-s\":10.0,\"cold-from\":0.32,\"drain-grace-s\":2.5,"
                + "\"fall-multiple\":4.0,\"fall-s\":2.0,\"warm-up-s\":8.7},\"tenants\":[],"
                + "\"tier\":0,\"tiers\":[\"sheet-cache\"],\"weight-kind\":\"nominal\",\"zone\":0}";
    }

    /** Creates the caches and the origin of a fleet. */
    interface NodeFactory<T extends Node> {
        T create(String uid) throws IOException;
    }

    /** Discovery, a few nodes and a proxy that is ready. */
    record Fleet<T extends Node>(Discovery discovery, T origin, List<T> caches, Proxy proxy) {}

    /** Starts a fleet with an origin and three caches, which the list names once each. */
    static <T extends Node> Fleet<T> startFleet(Run run, NodeFactory<T> factory)
            throws IOException {
        Discovery discovery = run.add(new Discovery());
        T origin = run.add(factory.create("s-origin"));
        List<T> caches = new ArrayList<>();
        List<String> entries = new ArrayList<>();
        for (int i = 1; i <= 3; i++) {
            T cache = run.add(factory.create("s-cache" + i));
            caches.add(cache);
            entries.add(Discovery.entry(cache.uid, cache.address(), "std-1", 1.0));
        }
        entries.add(originEntry(origin));
        discovery.set(entries);
        return new Fleet<>(discovery, origin, caches, startProxy(run, discovery));
    }

    static String originEntry(Node origin) {
        return Discovery.entry(origin.uid, origin.address(), "origin", 1.0);
    }

    /** Starts a proxy with the list that discovery has now, and waits until it is ready. */
    static Proxy startProxy(Run run, Discovery discovery) throws IOException {
        InetSocketAddress address = freeAddress();
        String config =
                "{\"name\":\"n1\",\"listen\":\""
                        + address.getHostString()
                        + ":"
                        + address.getPort()
                        + "\",\"discovery\":\""
                        + discovery.address()
                        + "\",\"seed\":\"8c1f30d27a5be964\","
                        + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                        + discovery.list()
                        + ",\"settings\":"
                        + settings()
                        + "}";
        Proxy proxy = new Proxy(run, "n1", address, config);
        proxy.awaitReady();
        return proxy;
    }

    /**
     * Plays requests, each on a thread of its own, and counts those that are lost.
     *
     * @param before runs before each request is begun
     * @param play plays the request with this number; false if it was lost
     * @return HELD, BROKEN, or COULD_NOT_RUN if a client failed by itself
     */
    static int playRequests(Run run, int requests, IntConsumer before, IntPredicate play)
            throws InterruptedException {
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger failed = new AtomicInteger();
        CountDownLatch ended = new CountDownLatch(requests);
        for (int i = 0; i < requests; i++) {
            int number = i;
            before.accept(number);
            start(
                    "client",
                    () -> {
                        try {
                            lost.addAndGet(play.test(number) ? 0 : 1);
                        } catch (RuntimeException e) {
                            run.record.line("client %d failed: %s", number, e);
                            failed.incrementAndGet();
                        }
                        ended.countDown();
                    });
        }
        ended.await();
        run.record.line("%d of %d requests lost", lost.get(), requests);
        return failed.get() > 0 ? COULD_NOT_RUN : lost.get() > 0 ? BROKEN : HELD;
    }

    /** A cache that has every key, or an origin, that answers at once. */
    static final class QuickNode extends Node {
        private final Record record;

        QuickNode(String uid, Record record) throws IOException {
            super(uid);
            this.record = record;
        }

        @Override
        void answer(Head head, byte[] body, OutputStream out) throws IOException {
            String id = head.header("x-trace-id");
            record.line("%s: runs %s", uid, id);
            out.write(response(200, "X-Store: hit\r\n", "made for " + id));
        }
    }

    /** Caches that have every key, each at a port of its own; one thread accepts for all. */
    static final class ManyCaches implements Closeable {
        private final Selector selector = Selector.open();
        private final List<ServerSocketChannel> listeners = new ArrayList<>();
        private final QuickNode server;

        ManyCaches(int count, Record record) throws IOException {
            server = new QuickNode("s-cache", record);
            for (int i = 0; i < count; i++) {
                ServerSocketChannel listener = ServerSocketChannel.open();
                listeners.add(listener);
                listener.bind(new InetSocketAddress("127.0.0.1", 0));
                listener.configureBlocking(false);
                listener.register(selector, SelectionKey.OP_ACCEPT);
            }
            Lib.start("caches", this::acceptAll);
        }

        String address(int number) {
            return "127.0.0.1:" + listeners.get(number).socket().getLocalPort();
        }

        private void acceptAll() {
            try {
                while (true) {
                    selector.select();
                    for (SelectionKey key : selector.selectedKeys()) {
                        SocketChannel accepted = ((ServerSocketChannel) key.channel()).accept();
                        if (accepted != null) {
                            Lib.start("connection", () -> server.serveQuietly(accepted.socket()));
                        }
                    }
                    selector.selectedKeys().clear();
                }
            } catch (IOException | ClosedSelectorException e) {
                // The case is over.
            }
        }

        @Override
        public void close() throws IOException {
            selector.close();
            server.close();
            for (ServerSocketChannel listener : listeners) {
                listener.close();
            }
        }
    }

    /**
     * Reads a key every 50 ms until the end, or until the proxy's process has ended; before
     * each request a task runs.
     *
     * @return whether the proxy lives
     */
    static boolean readUntil(Run run, Proxy proxy, long millis, Runnable before) {
        int lost = 0;
        double endMillis = run.record.millis() + millis;
        for (int i = 0; run.record.millis() < endMillis && proxy.process.isAlive(); i++) {
            before.run();
            String id = String.format("ad%014x", i);
            try (Caller client = new Caller(proxy.address)) {
                String head = Client.head("GET", "/sheet-view/" + id, id, 480, "");
                run.record.line("client: sends %s", id);
                run.record.line("client: %s answered %d", id, client.call(head).status());
            } catch (IOException e) {
                run.record.line("client: %s not answered, %s", id, e);
                lost++;
            }
            sleep(50);
        }
        sleep(500);
        boolean alive = proxy.process.isAlive();
        String end = alive ? "lives" : "ended with status " + proxy.process.exitValue();
        run.record.line("%d requests not answered; the proxy %s", lost, end);
        return alive;
    }
}
