package cairnbridge.propagation;

/**
 * Monotonic elapsed time derived from a clock that may be set. A backward step of the clock adds
 * nothing; later readings count from the new value.
 */
final class ElapsedClock {
    private long clock;
    private long elapsed;

    ElapsedClock(long clock) {
        this.clock = clock;
    }

    /** Returns the elapsed time for a new clock reading. */
    long advance(long reading) {
        elapsed += Math.max(0, reading - clock);
        clock = reading;
        return elapsed;
    }

    /** Converts an elapsed time to the reading of the clock at that time. */
    long clockTimeAt(long time) {
        return time == Long.MAX_VALUE ? time : clock + time - elapsed;
    }
}
