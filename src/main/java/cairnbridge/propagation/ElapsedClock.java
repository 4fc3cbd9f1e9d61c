package cairnbridge.propagation;

/**
 * Time that only goes on, made out of a clock that may be set: a step back counts as none, and what
 * comes after it counts from there.
 */
final class ElapsedClock {
    private long clock;
    private long elapsed;

    ElapsedClock(long clock) {
        this.clock = clock;
    }

    /** Time passed by now, from what the clock shows. */
    long advance(long shown) {
        elapsed += Math.max(0, shown - clock);
        clock = shown;
        return elapsed;
    }

    /** What the clock is going to show at a time. */
    long clockTimeAt(long time) {
        return time == Long.MAX_VALUE ? time : clock + time - elapsed;
    }
}
