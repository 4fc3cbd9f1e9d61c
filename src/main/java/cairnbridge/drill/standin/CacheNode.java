package cairnbridge.drill.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

/**
 * A cache: it starts empty and slow, takes so many requests at a time, and answers a miss for what
 * it lacks. It can be made slow, silent or failing, and told to drain. A cold one that is pushed
 * over its share refuses for a second.
 */
public final class CacheNode extends Http {
    public static final long COLD_MILLIS = 3000,
            DOWN_MILLIS = 1000,
            LATE_MILLIS = 450,
            PATIENCE_MILLIS = 20,
            SPAN_MILLIS = 2;
    public static final int SLOTS = 32, COLD_FALLS_OVER = 24;
    private static final byte[] NOTHING = {};

    private final World world;
    private final String uid, zone;
    private final long began = System.currentTimeMillis();
    private final Map<String, byte[]> values = new ConcurrentHashMap<>();
    private final Semaphore slots = new Semaphore(SLOTS);
    private final AtomicLong turn = new AtomicLong();
    private volatile long spanMillis = SPAN_MILLIS, downUntil;
    private volatile boolean failing, grey;
    public final LongAdder hits = new LongAdder(),
            misses = new LongAdder(),
            turnedAway = new LongAdder(),
            fellOver = new LongAdder(),
            probes = new LongAdder();

    public CacheNode(World world, String uid, String zone) throws IOException {
        this.world = world;
        this.uid = uid;
        this.zone = zone;
    }

    public String uid() {
        return uid;
    }

    /** Ops that came, whatever became of them. */
    public long asked() {
        return hits.sum() + misses.sum() + turnedAway.sum();
    }

    public String zone() {
        return zone;
    }

    /** Unix milliseconds. */
    public long began() {
        return began;
    }

    public void span(long millis) {
        spanMillis = millis;
    }

    public void fails(boolean on) {
        failing = on;
    }

    /** Every third answer comes late, and probes go well. */
    public void grey(boolean on) {
        grey = on;
    }

    void store(String key, byte[] value) {
        values.put(key, value);
    }

    public void empty() {
        values.clear();
    }

    @Override
    void answer(HttpExchange exchange) throws IOException, InterruptedException {
        long now = System.currentTimeMillis();
        if (exchange.getRequestURI().getPath().startsWith("/-/")) {
            probes.increment();
            say(exchange, failing || now < downUntil ? 503 : 200, NOTHING);
            return;
        }
        boolean cold = now - began < COLD_MILLIS;
        int busy = SLOTS - slots.availablePermits();
        if (cold && busy >= COLD_FALLS_OVER) {
            fellOver.increment();
            downUntil = now + DOWN_MILLIS;
        }
        if (now < downUntil || !slots.tryAcquire(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
            turnedAway.increment();
            exchange.getResponseHeaders().set("X-Never-Ran", "1");
            say(exchange, 503, NOTHING);
            return;
        }
        try {
            boolean late = grey && turn.getAndIncrement() % 3 == 0;
            TimeUnit.MILLISECONDS.sleep(late ? LATE_MILLIS : cold ? 2 * spanMillis : spanMillis);
            if (failing) {
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
