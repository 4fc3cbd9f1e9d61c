package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * The waits that add up to a term of the acceptance, each derived here from that term. Whoever
 * waits takes the wait from here; a test adds them up.
 */
public final class TimeBudget {
    /**
     * A change of the endpoint list counts as notified so long after discovery had it and could be
     * reached.
     */
    public static final long NOTIFIED_MILLIS = 6000;

    /** Discovery writes an empty line to a quiet watch this often. */
    public static final long HEARTBEAT_MILLIS = 2000;

    /** Kept back of every term for a process that is busy, and for the way of what is notified. */
    public static final long NOTIFIED_SLACK_MILLIS = NOTIFIED_MILLIS / 6;

    /** How often a call is checked; silence is noticed so much late at the most. */
    public static final long CHECK_INTERVAL_MILLIS = NOTIFIED_MILLIS / 60;

    /** A heartbeat that is three quarters late is missing: the watch is silent. */
    public static final long WATCH_SILENCE_MILLIS = HEARTBEAT_MILLIS * 7 / 4;

    /** A call that has brought nothing by then, not so much as a connection, is given up. */
    public static final long CALL_TIMEOUT_MILLIS =
            NOTIFIED_MILLIS - NOTIFIED_SLACK_MILLIS - WATCH_SILENCE_MILLIS - CHECK_INTERVAL_MILLIS;

    /**
     * The longest wait between a call that hangs as discovery returns and the one that has the
     * change.
     */
    public static final long MAX_RETRY_WAIT_MILLIS =
            NOTIFIED_MILLIS
                    - NOTIFIED_SLACK_MILLIS
                    - 2 * CALL_TIMEOUT_MILLIS
                    - CHECK_INTERVAL_MILLIS;

    /**
     * The longest between two calls, jitter included, so that one more may fail at once after the
     * return.
     */
    public static final long MAX_BACKOFF_MILLIS = MAX_RETRY_WAIT_MILLIS / 2;

    /** The first wait after a call that failed. */
    public static final long MIN_BACKOFF_MILLIS = 50;

    /** After SIGHUP, what discovery has at its new address counts as notified so much later. */
    public static final long RELOAD_NOTIFIED_MILLIS = 4000;

    /** How often the configuration file is checked where SIGHUP cannot arrive. */
    public static final long RELOAD_POLL_MILLIS = RELOAD_NOTIFIED_MILLIS / 16;

    /** The platform counts TTLs up to this one when it sets the time from SIGTERM to SIGKILL. */
    public static final long LONGEST_TTL_MILLIS = 3000;

    /** SIGKILL comes no sooner than this after the longest TTL. */
    public static final long KILL_MARGIN_MILLIS = 700;

    /** Of that, what the last answers need on their way. */
    public static final long LAST_ANSWER_MILLIS = 100;

    /** Of that, what the process needs to end. */
    public static final long EXIT_MILLIS = 100;

    private TimeBudget() {}

    /**
     * The longest wait until a list is asked for again, where the settings give some time; in
     * ticks.
     */
    static long maxListRetryWait(long retryWithin) {
        return Math.min(retryWithin / 3, Ticks.fromMillis(MAX_RETRY_WAIT_MILLIS));
    }

    /**
     * From SIGTERM on, for how long requests are taken and worked on; the longest TTL of the
     * settings is given.
     */
    public static long shutdownServingMillis(long longestTtlMillis) {
        return Math.min(longestTtlMillis, LONGEST_TTL_MILLIS);
    }

    /** From SIGTERM on, until when every request has its answer. */
    public static long shutdownAnsweringMillis(long longestTtlMillis) {
        return shutdownEndMillis(longestTtlMillis) - LAST_ANSWER_MILLIS;
    }

    /** From SIGTERM on, until when the process waits for the last bytes to be taken. */
    public static long shutdownEndMillis(long longestTtlMillis) {
        return shutdownServingMillis(longestTtlMillis) + KILL_MARGIN_MILLIS - EXIT_MILLIS;
    }
}
