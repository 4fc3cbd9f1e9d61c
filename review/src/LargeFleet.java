import java.io.IOException;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One proxy in calm traffic before as many cache nodes as the pages allow; without the disruption,
 * before the usual number. Once, discovery ends the open watch, and gives the whole list to the
 * next one.
 */
final class LargeFleet {
    private static final int USUAL_CACHES = 200;
    private static final int MOST_CACHES = 3200;
    private static final int CLIENTS = 20;
    private static final int REQUESTS_PER_SECOND = 60;
    private static final int KEYS = 100_000;
    private static final int SECONDS = 45;
    private static final int WATCHES_END_AT_SECOND = 30;

    private final Rig rig;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean over;

    private LargeFleet(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.run(arguments, rig -> new LargeFleet(rig).play());
    }

    private int play() throws Exception {
        int caches = rig.trouble ? MOST_CACHES : USUAL_CACHES;
        DiscoveryAgent discovery = new DiscoveryAgent();
        ManyNodes nodes = new ManyNodes(rig);
        for (int i = 0; i <= caches; i++) {
            String uid = i == caches ? "s-origin" : String.format("s-%08x", i * 0x9e3779b9);
            discovery.add(uid, nodes.listen(uid), i == caches);
        }
        nodes.start();
        discovery.start();
        Rig.Proxy proxy = rig.new Proxy("n1");
        String settings = Rig.settings(0.12).replace("\"instances\":1,", "\"instances\":100,");
        proxy.start(discovery, 1024, settings);
        proxy.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread thread = new Thread(() -> send(proxy, number), "client");
            thread.setDaemon(true);
            thread.start();
        }
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        for (int second = 1; System.nanoTime() < end && proxy.process.isAlive(); second++) {
            Thread.sleep(1000);
            if (second % 5 == 0) {
                logCounts(nodes);
            }
            if (second == WATCHES_END_AT_SECOND) {
                rig.log("discovery: ends the open watch");
                discovery.endWatches();
            }
        }
        boolean crashed = !proxy.process.isAlive();
        Thread.sleep(200);
        over = true;
        logCounts(nodes);
        proxy.recordLog();
        if (crashed) {
            return proxy.crashResult();
        }
        return served.get() < 1000 ? Rig.COULD_NOT_RUN : Rig.HELD;
    }

    private void logCounts(ManyNodes nodes) {
        rig.log(
                String.format(
                        "served %d, other answers %d, no answer %d; nodes used %d, connections to"
                                + " nodes %d",
                        served.get(),
                        other.get(),
                        unanswered.get(),
                        nodes.usedNodes(),
                        nodes.openConnections()));
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
                // A few keys are far more popular than the rest.
                long key = (long) Math.pow(KEYS, chance.nextDouble());
                Http.Message answer =
                        client.get("/sheet-view/" + Long.toHexString(key), id, 750);
                client.readBody((bytes, length) -> {});
                (answer.status() == 200 ? served : other).incrementAndGet();
                rig.log("client: " + id + " is answered " + answer.status());
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
    }
}
