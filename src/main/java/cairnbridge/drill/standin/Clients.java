package cairnbridge.drill.standin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Clients that ask at an even rate whatever comes back, come again when they are refused, as
 * advised, and give up at their TTL. Keys are chosen by a seed, some of them far more often than
 * others.
 */
public final class Clients implements AutoCloseable {
    /** How long a client waits in all. */
    public static final int TTL_MILLIS = 800;

    /**
     * How often it asks, how long after its TTL it still listens, and when it comes again if nobody
     * says.
     */
    public static final int MOST_TRIES = 3;

    public static final int SPARE_MILLIS = 200;
    public static final int UNADVISED_MILLIS = 100;

    private static final int WRITES_IN = 20;
    private static final double SKEW = 3;

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(300))
                    .build();
    private final ScheduledExecutorService timer =
            Executors.newScheduledThreadPool(
                    1,
                    task -> {
                        Thread thread = new Thread(task, "clients");
                        thread.setDaemon(true);
                        return thread;
                    });

    /** How many keys there are, where nobody says otherwise. */
    public static final int KEYS = 2_000;

    private final int perSecond;
    private final RandomGenerator chance;
    private final int keys;
    private static final AtomicLong LIVES = new AtomicLong();
    private final AtomicLong ids = new AtomicLong(LIVES.incrementAndGet() << 40);
    private final Supplier<List<InetSocketAddress>> proxies;
    public final LongAdder asked = new LongAdder();
    public final LongAdder served = new LongAdder();
    public final LongAdder refused = new LongAdder();
    public final LongAdder failed = new LongAdder();
    public final LongAdder lost = new LongAdder();
    public final LongAdder repeats = new LongAdder();

    /** proxies: those that take clients now. */
    public Clients(Supplier<List<InetSocketAddress>> proxies, int perSecond, int keys, long seed) {
        this.proxies = proxies;
        this.keys = keys;
        this.perSecond = perSecond;
        chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        timer.scheduleAtFixedRate(this::next, 0, 1_000_000L / perSecond, TimeUnit.MICROSECONDS);
    }

    /** Whether the next op is one that may take effect once only. */
    public static boolean writes(RandomGenerator chance) {
        return chance.nextInt(WRITES_IN) == 0;
    }

    /** The key of the next op, out of so many. */
    public static long key(RandomGenerator chance, int keys) {
        return (long) (keys * Math.pow(chance.nextDouble(), SKEW));
    }

    /** Requests a second of this client. */
    public int perSecond() {
        return perSecond;
    }

    private void next() {
        List<InetSocketAddress> places = proxies.get();
        if (places.isEmpty()) {
            return;
        }
        asked.increment();
        InetSocketAddress place = places.get(chance.nextInt(places.size()));
        boolean write = writes(chance);
        long key = key(chance, keys);
        ask(place, write, key, System.nanoTime() + TTL_MILLIS * 1_000_000L, 1);
    }

    private void ask(InetSocketAddress place, boolean write, long key, long until, int tries) {
        long left = (until - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
            refused.increment();
            return;
        }
        HttpRequest.Builder request =
                HttpRequest.newBuilder(
                                URI.create(
                                        "http://"
                                                + place.getAddress().getHostAddress()
                                                + ":"
                                                + place.getPort()
                                                + (write ? "/loan/" : "/view/")
                                                + Long.toHexString(key)))
                        .timeout(Duration.ofMillis(left + SPARE_MILLIS))
                        .header("X-Trace-Id", Long.toHexString(ids.incrementAndGet()))
                        .header("X-Expires-In", left + "m");
        if (tries > 1) {
            request.header("X-Second-Try", "1");
        }
        request = write ? request.PUT(HttpRequest.BodyPublishers.ofString("v")) : request.GET();
        http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray())
                .whenComplete(
                        (answer, fault) -> {
                            if (fault != null) {
                                lost.increment();
                            } else if (answer.statusCode() == 200) {
                                served.increment();
                            } else if (answer.statusCode() == 503 || answer.statusCode() == 429) {
                                again(place, write, key, until, tries, answer);
                            } else {
                                failed.increment();
                            }
                        });
    }

    private void again(
            InetSocketAddress place,
            boolean write,
            long key,
            long until,
            int tries,
            HttpResponse<byte[]> answer) {
        double wait =
                answer.headers()
                        .firstValue("Retry-After")
                        .map(Double::parseDouble)
                        .orElse(UNADVISED_MILLIS / 1000.0);
        if (tries >= MOST_TRIES) {
            refused.increment();
            return;
        }
        repeats.increment();
        timer.schedule(
                () -> ask(place, write, key, until, tries + 1),
                (long) (wait * 1000),
                TimeUnit.MILLISECONDS);
    }

    /** Of all that have ended, the part that was served; 1 while none has. */
    public double share() {
        long ended = served.sum() + refused.sum() + failed.sum() + lost.sum();
        return ended == 0 ? 1 : (double) served.sum() / ended;
    }

    @Override
    public void close() {
        timer.shutdownNow();
    }
}
