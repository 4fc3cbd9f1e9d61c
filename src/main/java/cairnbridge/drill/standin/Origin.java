package cairnbridge.drill.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * The store behind the caches: slow, takes few requests at a time, and turns away what would wait
 * too long.
 */
public final class Origin extends Http {
    public static final int SLOTS = 24;
    public static final long PATIENCE_MILLIS = 300;
    public static final long SPAN_MILLIS = 15;
    private static final byte[] NOTHING = {};

    private final World world;
    private volatile Semaphore slots = new Semaphore(SLOTS, true);
    private volatile int places = SLOTS;
    private volatile long spanMillis = SPAN_MILLIS;
    public final LongAdder fetches = new LongAdder();
    public final LongAdder writes = new LongAdder();
    public final LongAdder turnedAway = new LongAdder();

    /** An origin that stores its answers at the caches that missed. */
    public Origin(World world) throws IOException {
        this.world = world;
    }

    /** Sets the duration of a request. */
    public void span(long millis) {
        spanMillis = millis;
    }

    /** It takes so many requests at a time from now on. */
    public void places(int many) {
        places = many;
        slots = new Semaphore(many, true);
    }

    /** Requests that it can take in a second, by its places and its span. */
    public double perSecond() {
        return places * 1000.0 / spanMillis;
    }

    @Override
    void answer(HttpExchange exchange) throws IOException, InterruptedException {
        Semaphore mine = slots;
        if (!mine.tryAcquire(PATIENCE_MILLIS, TimeUnit.MILLISECONDS)) {
            turnedAway.increment();
            exchange.getResponseHeaders().set("X-Never-Ran", "1");
            say(exchange, 503, NOTHING);
            return;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(spanMillis);
            String trace = header(exchange, "X-Trace-Id");
            byte[] value = ("value of " + key(exchange)).getBytes(StandardCharsets.US_ASCII);
            if (exchange.getRequestMethod().equals("PUT")) {
                writes.increment();
                world.effect(trace);
            } else {
                fetches.increment();
                world.fetched(trace, key(exchange), value);
            }
            say(exchange, 200, value);
        } finally {
            mine.release();
        }
    }
}
