package cairnbridge.decision;

import cairnbridge.time.Ticks;

/**
 * Timeouts and delays whose sum must stay within an acceptance limit, each derived from that limit.
 * Code that waits takes its delay from this class, and a test checks the sums.
 */
public final class TimeBudget {
    /**
     * The acceptance limit for the endpoint list: the proxy must know a change at most this long
     * after discovery has it and is reachable.
     */
    public static final long LIST_CHANGE_LIMIT_MILLIS = 6000;

    /** The interval at which discovery writes an empty line to an idle watch. */
    public static final long HEARTBEAT_MILLIS = 2000;

    /** The part of each limit that is reserved for a busy process and for delivering the change. */
    public static final long LIST_CHANGE_SLACK_MILLIS = LIST_CHANGE_LIMIT_MILLIS / 6;

    /**
     * The interval at which a call to discovery is checked; silence is detected at most this much
     * late.
     */
    public static final long CHECK_INTERVAL_MILLIS = LIST_CHANGE_LIMIT_MILLIS / 60;

    /**
     * The time without data after which a watch counts as silent: a heartbeat that is three
     * quarters of its interval late.
     */
    public static final long WATCH_SILENCE_MILLIS = HEARTBEAT_MILLIS * 7 / 4;

    /**
     * The time after which a call to discovery that has returned nothing is aborted, even if its
     * connection is not established.
     */
    public static final long CALL_TIMEOUT_MILLIS =
            LIST_CHANGE_LIMIT_MILLIS
                    - LIST_CHANGE_SLACK_MILLIS
                    - WATCH_SILENCE_MILLIS
                    - CHECK_INTERVAL_MILLIS;

    /**
     * The maximum delay between a call to discovery that hangs while discovery recovers and the
     * call that fetches the change.
     */
    public static final long MAX_RETRY_WAIT_MILLIS =
            LIST_CHANGE_LIMIT_MILLIS
                    - LIST_CHANGE_SLACK_MILLIS
                    - 2 * CALL_TIMEOUT_MILLIS
                    - CHECK_INTERVAL_MILLIS;

    /**
     * The maximum delay between two calls to discovery, including jitter. It is half of the retry
     * delay, so that one more call may fail immediately after the recovery.
     */
    public static final long MAX_BACKOFF_MILLIS = MAX_RETRY_WAIT_MILLIS / 2;

    /** The delay after the first failed call to discovery. */
    public static final long MIN_BACKOFF_MILLIS = 50;

    /**
     * The acceptance limit for a reload: after SIGHUP, the proxy must know the endpoint list of
     * discovery's new address at most this much later.
     */
    public static final long RELOAD_LIMIT_MILLIS = 4000;

    /** The interval at which the configuration file is checked where SIGHUP cannot be received. */
    public static final long RELOAD_POLL_MILLIS = RELOAD_LIMIT_MILLIS / 16;

    /**
     * The longest TTL that the platform takes into account when it sets the time from SIGTERM to
     * SIGKILL.
     */
    public static final long LONGEST_TTL_MILLIS = 3000;

    /** The minimum time from the end of the longest TTL, counted from SIGTERM, to SIGKILL. */
    public static final long KILL_MARGIN_MILLIS = 700;

    /** The part of {@link #KILL_MARGIN_MILLIS} reserved for delivering the last answers. */
    public static final long LAST_ANSWER_MILLIS = 100;

    /** The part of {@link #KILL_MARGIN_MILLIS} reserved for the exit of the process. */
    public static final long EXIT_MILLIS = 100;

    private TimeBudget() {}

    /**
     * Returns how long before its deadline a request is answered at the latest, in ticks.
     *
     * @param clockGranularity the resolution of the clock in ticks
     */
    public static long answerMargin(long clockGranularity) {
        return 2 * clockGranularity;
    }

    /**
     * Returns the maximum delay in ticks before the endpoint list is requested again, from the time
     * that the settings allow.
     */
    static long maxListRetryWait(long retryWithin) {
        return Math.min(retryWithin / 3, Ticks.fromMillis(MAX_RETRY_WAIT_MILLIS));
    }

    /**
     * Returns how long after SIGTERM requests are accepted and processed.
     *
     * @param longestTtlMillis the longest TTL in the settings
     */
    public static long shutdownServingMillis(long longestTtlMillis) {
        return Math.min(longestTtlMillis, LONGEST_TTL_MILLIS);
    }

    /** Returns the time after SIGTERM by which every request is answered. */
    public static long shutdownAnsweringMillis(long longestTtlMillis) {
        return shutdownEndMillis(longestTtlMillis) - LAST_ANSWER_MILLIS;
    }

    /** Returns how long after SIGTERM the process waits for its last bytes to be received. */
    public static long shutdownEndMillis(long longestTtlMillis) {
        return shutdownServingMillis(longestTtlMillis) + KILL_MARGIN_MILLIS - EXIT_MILLIS;
    }
}
