package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that consecutive timeouts and delays add up to no more than the acceptance limit that they
 * are part of.
 */
class TimeBudgetTest {
    private static final long AVAILABLE_MILLIS =
            TimeBudget.LIST_CHANGE_LIMIT_MILLIS - TimeBudget.LIST_CHANGE_SLACK_MILLIS;

    @Test
    void aSilentWatchIsReplacedAndTheChangeFetchedWithinTheLimit() {
        long redialledAfter = TimeBudget.WATCH_SILENCE_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS;
        assertTrue(redialledAfter + TimeBudget.CALL_TIMEOUT_MILLIS <= AVAILABLE_MILLIS);
        assertTrue(
                TimeBudget.WATCH_SILENCE_MILLIS >= TimeBudget.HEARTBEAT_MILLIS * 3 / 2,
                "a late heartbeat does not count as silence");
    }

    @Test
    void aHungCallAndAnImmediateFailureAreFollowedByAnotherCallWithinTheLimit() {
        long hungCallEndsAfter = TimeBudget.CALL_TIMEOUT_MILLIS + TimeBudget.CHECK_INTERVAL_MILLIS;
        assertTrue(
                hungCallEndsAfter
                                + 2 * TimeBudget.MAX_BACKOFF_MILLIS
                                + TimeBudget.CALL_TIMEOUT_MILLIS
                        <= AVAILABLE_MILLIS,
                "retries of the watch");
        assertTrue(
                hungCallEndsAfter
                                + TimeBudget.MAX_RETRY_WAIT_MILLIS
                                + TimeBudget.CALL_TIMEOUT_MILLIS
                        <= AVAILABLE_MILLIS,
                "retries of the decision module's subscription");
        assertTrue(
                TimeBudget.CALL_TIMEOUT_MILLIS >= 1000,
                "a call to a slow discovery service is not aborted");
    }

    @ParameterizedTest
    @CsvSource({
        "200, 200, 800, 900",
        "2000, 2000, 2600, 2700",
        "3000, 3000, 3600, 3700",
        "3249, 3000, 3600, 3700",
        "60000, 3000, 3600, 3700"
    })
    void requestsPendingAtSigtermAreAnsweredBeforeSigkill(
            long ttl, long servingEnd, long processEnd, long killTime) {
        assertEquals(servingEnd, TimeBudget.shutdownServingMillis(ttl));
        assertEquals(processEnd, TimeBudget.shutdownEndMillis(ttl));
        assertEquals(
                processEnd - TimeBudget.LAST_ANSWER_MILLIS,
                TimeBudget.shutdownAnsweringMillis(ttl));
        assertEquals(
                killTime,
                Math.min(ttl, TimeBudget.LONGEST_TTL_MILLIS) + TimeBudget.KILL_MARGIN_MILLIS);
        assertEquals(killTime, processEnd + TimeBudget.EXIT_MILLIS);
    }
}
