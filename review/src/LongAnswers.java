import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request in twenty is answered with 8 MB, and its client reads them at 70 kB a second. Without
 * the disruption the clients read as fast as they can.
 */
final class LongAnswers {
    private static final int CACHES = 12;
    private static final int CLIENTS = 40;

    /** What one proxy of four carries at 350 requests a second in all. */
    private static final int REQUESTS_PER_SECOND = 88;

    /** One request in so many asks for a long answer. */
    private static final int LONG_ONE_IN = 20;

    private static final int SECONDS = 75;
    private static final int BLOCK_BYTES = 1 << 20;
    private static final int BLOCKS = 8;

    /** A little more than the 64 kB a second at which a client may take a body. */
    private static final int SLOW_BYTES_PER_SECOND = 70_000;

    private final Rig rig;
    private final byte[] block = new byte[BLOCK_BYTES];
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger longBegun = new AtomicInteger();
    private final AtomicInteger longOpen = new AtomicInteger();
    private final AtomicInteger longWhole = new AtomicInteger();
    private final AtomicInteger longCut = new AtomicInteger();
    private volatile boolean over;

    private LongAnswers(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new LongAnswers(rig).play());
    }

    private int play() throws Exception {
        DiscoveryAgent discovery = new DiscoveryAgent();
        for (int i = 0; i <= CACHES; i++) {
            boolean origin = i == CACHES;
            CacheNode node = new CacheNode(origin ? "s-origin" : "s-" + i, this::handle);
            node.start();
            discovery.add(node.uid, node.port(), origin);
        }
        discovery.start();
        Rig.Proxy proxy = rig.new Proxy("n1");
        proxy.start(discovery, 1024, Rig.settings(0.12));
        proxy.awaitReady();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            startThread(() -> send(proxy, number));
        }
        for (int second = 1; System.nanoTime() < end && proxy.process.isAlive(); second++) {
            Thread.sleep(1000);
            if (second % 5 == 0) {
                logCounts();
            }
        }
        boolean crashed = !proxy.process.isAlive();
        Thread.sleep(200);
        over = true;
        logCounts();
        proxy.recordLog();
        if (crashed) {
            return proxy.crashResult();
        }
        return served.get() < 1000 || longBegun.get() < 100 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private void logCounts() {
        rig.log(
                String.format(
                        "served %d, refused %d, no answer %d; long answers: begun %d, open now %d,"
                                + " whole %d, cut off %d",
                        served.get(),
                        refused.get(),
                        unanswered.get(),
                        longBegun.get(),
                        longOpen.get(),
                        longWhole.get(),
                        longCut.get()));
    }

    private void handle(CacheNode node, Http.Message request, CacheNode.Connection connection)
            throws IOException, InterruptedException {
        Thread.sleep(25);
        String id = request.header("x-trace-id");
        if (request.secondWord().contains("/long-")) {
            rig.log(node.uid + ": answers " + id + " with 8 MB");
            connection.answerLong(block, BLOCKS);
        } else {
            rig.log(node.uid + ": answers " + id);
            connection.answer(200, "X-Store: hit\r\n", "x".repeat(1000));
        }
    }

    private void send(Rig.Proxy proxy, int number) {
        Random chance = new Random(number);
        long interval = TimeUnit.SECONDS.toNanos(CLIENTS) / REQUESTS_PER_SECOND;
        Client client = new Client(proxy.address);
        long due = System.nanoTime() + (long) (chance.nextDouble() * interval);
        for (int count = 0; !over; count++) {
            String id = String.format("%08x%08x", number, count);
            try {
                TimeUnit.NANOSECONDS.sleep(due - System.nanoTime());
                if (chance.nextInt(LONG_ONE_IN) == 0) {
                    String target = "/sheet-view/long-" + chance.nextInt(1000);
                    startThread(() -> readLong(proxy, target, id));
                } else {
                    Http.Message answer =
                            client.get("/sheet-view/" + chance.nextInt(400), id, 750);
                    client.readBody((bytes, length) -> {});
                    (answer.status() == 200 ? served : refused).incrementAndGet();
                    rig.log("client: " + id + " is answered " + answer.status());
                }
            } catch (IOException e) {
                client.close();
                if (!over) {
                    unanswered.incrementAndGet();
                    rig.log("client: " + id + " has no answer: " + e.getMessage());
                }
            } catch (InterruptedException e) {
                return;
            }
            due = Math.max(System.nanoTime(), due + (long) (interval * (0.5 + chance.nextDouble())));
        }
        client.close();
    }

    private void readLong(Rig.Proxy proxy, String target, String id) {
        long[] received = {0};
        boolean begun = false;
        try (Client client = new Client(proxy.address)) {
            Http.Message answer = client.get(target, id, 750);
            if (answer.status() != 200) {
                refused.incrementAndGet();
                rig.log("client: " + id + " is answered " + answer.status());
                return;
            }
            begun = true;
            longBegun.incrementAndGet();
            longOpen.incrementAndGet();
            rig.log("client: " + id + " begins to read its answer");
            long start = System.nanoTime();
            client.readBody(
                    (bytes, length) -> {
                        received[0] += length;
                        if (rig.trouble) {
                            pace(start, received[0]);
                        }
                    });
            longWhole.incrementAndGet();
        } catch (IOException e) {
            if (over) {
                return;
            }
            (begun ? longCut : unanswered).incrementAndGet();
            rig.log("client: " + id + " after " + received[0] + " bytes: " + e.getMessage());
        } finally {
            if (begun) {
                longOpen.decrementAndGet();
            }
        }
    }

    /** Sleeps until so many bytes are due at 70 kB a second. */
    private static void pace(long startNanos, long bytes) throws IOException {
        try {
            long dueNanos = startNanos + bytes * 1_000_000_000L / SLOW_BYTES_PER_SECOND;
            TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(null, task, "client", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }
}
