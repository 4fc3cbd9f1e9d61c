package cairnbridge.drill.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * A stand-in for a cache server, on HTTP. It starts empty, answers a miss for what it lacks, and
 * otherwise behaves as its {@link CacheBehavior} says.
 */
public final class CacheNode extends Http {
    private static final byte[] NOTHING = {};

    private final World world;
    private final String uid;
    private final String zone;
    private final CacheBehavior behavior = new CacheBehavior(1, System.currentTimeMillis());
    private final Map<String, byte[]> values = new ConcurrentHashMap<>();
    private final Semaphore slots = new Semaphore(CacheBehavior.SLOTS);
    public final LongAdder hits = new LongAdder();
    public final LongAdder misses = new LongAdder();
    public final LongAdder turnedAway = new LongAdder();
    public final LongAdder probes = new LongAdder();

    /** An empty cache. */
    public CacheNode(World world, String uid, String zone) throws IOException {
        this.world = world;
        this.uid = uid;
        this.zone = zone;
    }

    /** Its name in the endpoint list. */
    public String uid() {
        return uid;
    }

    /** Ops that came, whatever became of them. */
    public long asked() {
        return hits.sum() + misses.sum() + turnedAway.sum();
    }

    /** Its zone. */
    public String zone() {
        return zone;
    }

    /** Unix milliseconds. */
    public long began() {
        return behavior.began();
    }

    /** How this cache behaves; what is changed there takes effect at the next request. */
    public CacheBehavior behavior() {
        return behavior;
    }

    void store(String key, byte[] value) {
        values.put(key, value);
    }

    /** Drops all values. */
    public void empty() {
        values.clear();
    }

    @Override
    void answer(HttpExchange exchange) throws IOException, InterruptedException {
        long now = System.currentTimeMillis();
        if (exchange.getRequestURI().getPath().startsWith("/-/")) {
            probes.increment();
            say(exchange, behavior.answersProbes(now) ? 200 : 503, NOTHING);
            return;
        }
        boolean cold = behavior.isCold(now);
        boolean admitted = behavior.admits(now, CacheBehavior.SLOTS - slots.availablePermits());
        if (!admitted || !slots.tryAcquire(behavior.patience(), TimeUnit.MILLISECONDS)) {
            turnedAway.increment();
            exchange.getResponseHeaders().set("X-Never-Ran", "1");
            say(exchange, 503, NOTHING);
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(behavior.nextServiceTime(cold));
            if (behavior.isFailing()) {
                say(exchange, 500, NOTHING);
                return;
            }
            byte[] value = values.get(key(exchange));
            (value == null ? misses : hits).increment();
            exchange.getResponseHeaders().set("X-Store", value == null ? "miss" : "hit");
            if (value == null) {
                world.missed(header(exchange, "X-Trace-Id"), this);
            }
            say(exchange, value == null ? 404 : 200, value == null ? NOTHING : value);
        } finally {
            slots.release();
        }
    }
}
