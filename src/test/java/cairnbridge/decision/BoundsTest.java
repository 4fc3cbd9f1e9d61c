package cairnbridge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The waits that follow one another add up to less than the term that they are part of. */
class BoundsTest {
    private static final long IN_HAND = Bounds.TOLD_MILLIS - Bounds.TOLD_SLACK_MILLIS;

    @Test
    void aWatchThatFallsSilentIsReplacedAndTheChangeInHandBeforeItCountsAsTold() {
        long dialled = Bounds.SILENCE_MILLIS + Bounds.LOOK_MILLIS;
        assertTrue(dialled + Bounds.CALL_MILLIS <= IN_HAND);
        assertTrue(
                Bounds.SILENCE_MILLIS >= Bounds.HEARTBEAT_MILLIS * 3 / 2,
                "a late one is no silence");
    }

    @Test
    void aCallThatHangsWhenDiscoveryReturnsAndOneThatFailsAtOnceAreFollowedByAnotherInTime() {
        long hung = Bounds.CALL_MILLIS + Bounds.LOOK_MILLIS;
        assertTrue(
                hung + 2 * Bounds.MOST_BACKOFF_MILLIS + Bounds.CALL_MILLIS <= IN_HAND,
                "the watch's own");
        assertTrue(
                hung + Bounds.MOST_WAIT_MILLIS + Bounds.CALL_MILLIS <= IN_HAND, "the module asks");
        assertTrue(Bounds.CALL_MILLIS >= 1000, "a discovery that is only slow is not given up");
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
        assertEquals(serves, Bounds.stopServesMillis(ttl));
        assertEquals(ends, Bounds.stopEndsMillis(ttl));
        assertEquals(ends - Bounds.LAST_ANSWER_MILLIS, Bounds.stopAnswersMillis(ttl));
        assertEquals(kill, Math.min(ttl, Bounds.LONGEST_TTL_MILLIS) + Bounds.KILL_SPARE_MILLIS);
        assertEquals(kill, ends + Bounds.EXIT_MILLIS);
    }
}
