import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Cache nodes of which some answers come a second time, some milliseconds late. Each answer names
 * the request that it was made for, so a client can tell whether it got its own.
 */
final class SecondAnswer {
    private static final int CACHES = 12;
    private static final int CLIENTS = 32;

    /** What one proxy of four carries at 350 requests a second in all. */
    private static final int REQUESTS_PER_SECOND = 88;

    private static final int SECONDS = 60;

    /** One answer in so many comes twice. */
    private static final int SPOILT_ONE_IN = 25;

    private static final int LEAST_LATE_MILLIS = 2;
    private static final int MOST_LATE_MILLIS = 8;

    private final Rig rig;
    private final ScheduledExecutorService late = Executors.newScheduledThreadPool(4);
    private final Random random = new Random(1);

    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();

    private SecondAnswer(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new SecondAnswer(rig).play());
    }

    private int play() throws Exception {
        DiscoveryAgent discovery = new DiscoveryAgent();
        List<CacheNode> nodes = new ArrayList<>();
        for (int i = 0; i <= CACHES; i++) {
            boolean origin = i == CACHES;
            CacheNode node = new CacheNode(origin ? "s-origin" : "s-" + i, this::handle);
            node.start();
            discovery.add(node.uid, node.port(), origin);
            nodes.add(node);
        }
        discovery.start();
        Rig.Proxy proxy = rig.new Proxy("n1");
        proxy.start(discovery, 1024, Rig.settings(0.12));
        proxy.awaitReady();
        List<Thread> clients = new ArrayList<>();
        long start = System.nanoTime();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(() -> send(proxy, number, start));
            client.start();
            clients.add(client);
        }
        for (Thread client : clients) {
            client.join();
        }
        proxy.recordLog();
        rig.log(
                "answered 200: "
                        + answered
                        + ", other answers: "
                        + other
                        + ", answers sent twice by nodes: "
                        + spoilt
                        + ", answers made for another request: "
                        + foreign);
        if (answered.get() < 1000 || !proxy.process.isAlive()) {
            return Rig.COULD_NOT_RUN;
        }
        return foreign.get() > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private void handle(CacheNode node, Http.Message request, CacheNode.Connection connection)
            throws IOException, InterruptedException {
        String id = request.header("x-trace-id");
        int workMillis;
        int lateMillis = -1;
        synchronized (random) {
            workMillis = 21 + random.nextInt(18);
            if (rig.trouble && random.nextInt(SPOILT_ONE_IN) == 0) {
                lateMillis =
                        LEAST_LATE_MILLIS
                                + random.nextInt(MOST_LATE_MILLIS - LEAST_LATE_MILLIS + 1);
            }
        }
        Thread.sleep(workMillis);
        String body = "for=" + id + " key=" + request.secondWord() + " by=" + node.uid;
        String note = node.uid + " to port " + connection.proxyPort() + ": answers " + id;
        rig.log(note);
        connection.answer(200, "X-Store: hit\r\n", body);
        if (lateMillis >= 0) {
            spoilt.incrementAndGet();
            late.schedule(
                    () -> {
                        rig.log(note + " a second time");
                        connection.answer(200, "X-Store: hit\r\n", body);
                        return null;
                    },
                    lateMillis,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void send(Rig.Proxy proxy, int number, long start) {
        Random chance = new Random(100 + number);
        long interval = TimeUnit.SECONDS.toNanos(CLIENTS) / REQUESTS_PER_SECOND;
        Client client = new Client(proxy.address);
        long due = start + (long) (chance.nextDouble() * interval);
        for (int count = 0; due - start < TimeUnit.SECONDS.toNanos(SECONDS); count++) {
            try {
                TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
                String id = String.format("%08x%08x", number, count);
                String target = "/sheet-view/" + Integer.toHexString(chance.nextInt(400));
                Http.Message answer = client.get(target, id, 750);
                ByteArrayOutputStream body = new ByteArrayOutputStream();
                client.readBody((bytes, length) -> body.write(bytes, 0, length));
                check(id, answer.status(), body.toString(StandardCharsets.US_ASCII));
            } catch (IOException e) {
                rig.log("client " + number + ": " + e);
                client.close();
            } catch (InterruptedException e) {
                return;
            }
            due = Math.max(System.nanoTime(), due + (long) (interval * (0.5 + chance.nextDouble())));
        }
        client.close();
    }

    private void check(String id, int status, String body) {
        if (status != 200) {
            other.incrementAndGet();
            rig.log("client: " + id + " is answered " + status);
            return;
        }
        answered.incrementAndGet();
        if (body.startsWith("for=" + id + " ")) {
            rig.log("client: " + id + " is answered 200");
        } else {
            foreign.incrementAndGet();
            rig.log("client: " + id + " is answered 200 WITH THE ANSWER " + body);
        }
    }
}
