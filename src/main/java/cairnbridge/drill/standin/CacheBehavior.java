package cairnbridge.drill.standin;

import java.util.concurrent.atomic.AtomicLong;

/**
 * How a simulated cache server behaves, whichever clock it runs on: the stand-in on sockets and the
 * model in simulated time both ask it.
 *
 * <p>A cache that has just started is cold: each request takes twice as long, and a cold cache with
 * too many requests in progress falls over and refuses all requests for a while. Faults can be
 * switched on while it runs. Safe for use by several threads.
 */
public final class CacheBehavior {
    /** Requests that a cache serves at the same time. */
    public static final int SLOTS = 32;

    private static final long COLD_MILLIS = 3000;
    private static final long DOWN_MILLIS = 1000;
    private static final long LATE_MILLIS = 450;
    private static final long PATIENCE_MILLIS = 20;
    private static final long USUAL_MILLIS = 2;
    private static final int COLD_CAPACITY = 24;
    private static final int LATE_EVERY = 3;
    private static final int COLD_FACTOR = 2;

    private final long unitsPerMilli;
    private final long began;
    private final AtomicLong requestsWhileGrey = new AtomicLong();
    private final AtomicLong timesFallenOver = new AtomicLong();
    private volatile long serviceTime;
    private volatile long downUntil;
    private volatile boolean failing;
    private volatile boolean grey;

    /**
     * Starts a cold cache.
     *
     * @param unitsPerMilli the clock's units in a millisecond; all times are in these units
     * @param began the time at which the cache started
     */
    public CacheBehavior(long unitsPerMilli, long began) {
        this.unitsPerMilli = unitsPerMilli;
        this.began = began;
        serviceTime = USUAL_MILLIS * unitsPerMilli;
    }

    /** The time at which the cache started. */
    public long began() {
        return began;
    }

    /** How long a request waits for a free slot before it is refused. */
    public long patience() {
        return PATIENCE_MILLIS * unitsPerMilli;
    }

    /** Whether the cache is still cold. */
    public boolean isCold(long now) {
        return now - began < COLD_MILLIS * unitsPerMilli;
    }

    /**
     * Decides whether an arriving request may wait for a slot, and lets a cold cache under too much
     * load fall over.
     *
     * @param busy the slots taken at present
     */
    public boolean admits(long now, int busy) {
        if (isCold(now) && busy >= COLD_CAPACITY) {
            timesFallenOver.incrementAndGet();
            downUntil = now + DOWN_MILLIS * unitsPerMilli;
        }
        return now >= downUntil;
    }

    /**
     * How long the next request takes to serve.
     *
     * @param cold whether the cache was cold when the request arrived
     */
    public long nextServiceTime(boolean cold) {
        if (grey && requestsWhileGrey.getAndIncrement() % LATE_EVERY == 0) {
            return LATE_MILLIS * unitsPerMilli;
        }
        return cold ? COLD_FACTOR * serviceTime : serviceTime;
    }

    /** Whether a health probe that arrives now is answered well. */
    public boolean answersProbes(long now) {
        return !failing && now >= downUntil;
    }

    /** Sets how long a warm cache takes for a request. */
    public void serviceTime(long units) {
        serviceTime = units;
    }

    /** Makes every request fail, or lets them succeed again. */
    public void failing(boolean on) {
        failing = on;
    }

    /** Whether requests fail at present. */
    public boolean isFailing() {
        return failing;
    }

    /** Makes every third answer late while probes still go well, or ends that. */
    public void grey(boolean on) {
        grey = on;
    }

    /** How many times the cache has fallen over. */
    public long timesFallenOver() {
        return timesFallenOver.get();
    }
}
