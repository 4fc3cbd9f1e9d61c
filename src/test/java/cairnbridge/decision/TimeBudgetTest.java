package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The waits that follow one another add up to less than the term that they are part of. */
class TimeBudgetTest {
    private static final long IN_HAND =
            TimeBudget.NOTIFIED_MILLIS - TimeBudget.NOTIFIED_SLACK_MILLIS;

    @Test
    void aWatchThatFallsSilentIsReplacedAndTheChangeInHandBeforeItCountsAsTold() {
        long dialled = TimeBudget.WATCH_SILENCE_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS;
        assertTrue(dialled + TimeBudget.CALL_TIMEOUT_MILLIS <= IN_HAND);
        assertTrue(
                TimeBudget.WATCH_SILENCE_MILLIS >= TimeBudget.HEARTBEAT_MILLIS * 3 / 2,
                "a late one is no silence");
    }

    @Test
    void aCallThatHangsWhenDiscoveryReturnsAndOneThatFailsAtOnceAreFollowedByAnotherInTime() {
        long hung = TimeBudget.CALL_TIMEOUT_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS;
        assertTrue(
                hung + 2 * TimeBudget.MAX_BACKOFF_MILLIS + TimeBudget.CALL_TIMEOUT_MILLIS
                        <= IN_HAND,
                "the watch's own");
        assertTrue(
                hung + TimeBudget.MAX_RETRY_WAIT_MILLIS + TimeBudget.CALL_TIMEOUT_MILLIS <= IN_HAND,
                "the module asks");
        assertTrue(
                TimeBudget.CALL_TIMEOUT_MILLIS >= 1000,
                "a discovery that is only slow is not given up");
    }

    @ParameterizedTest
    @CsvSource({
        "200, 200, 800, 900",
        "2000, 2000, 2600, 2700",
        "3000, 3000, 3600, 3700",
        "3249, 3000, 3600, 3700",
        "60000, 3000, 3600, 3700"
    })
    void whatIsOwedAtSigtermIsAnsweredBeforeSigkill(long ttl, long serves, long ends, long kill) {
        assertEquals(serves, TimeBudget.shutdownServingMillis(ttl));
        assertEquals(ends, TimeBudget.shutdownEndMillis(ttl));
        assertEquals(ends - TimeBudget.LAST_ANSWER_MILLIS, TimeBudget.shutdownAnsweringMillis(ttl));
        assertEquals(
                kill, Math.min(ttl, TimeBudget.LONGEST_TTL_MILLIS) + TimeBudget.KILL_MARGIN_MILLIS);
        assertEquals(kill, ends + TimeBudget.EXIT_MILLIS);
    }
}
