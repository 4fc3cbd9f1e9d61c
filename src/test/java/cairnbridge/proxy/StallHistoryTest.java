package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cairnbridge.time.Ticks;
import org.junit.jupiter.api.Test;

/** What of the stalls of a process counts once a signal is handled. */
class StallHistoryTest {
    private static final long IDLE_WAKEUP_TICKS = 20 * Ticks.MILLISECOND;
    private static final long STALL_TICKS = 700 * Ticks.MILLISECOND;

    private final StallHistory history = new StallHistory(IDLE_WAKEUP_TICKS, 0);

    private long stalledMillisAt(long millis) {
        return Ticks.toMillis(history.stalledTicksSinceSignal(Ticks.fromMillis(millis)));
    }

    private void wakeUpAt(long millis, long delayTicks) {
        history.wokeUp(Ticks.fromMillis(millis), delayTicks);
    }

    @Test
    void aProcessThatWakesUpInTimeWasNotStalled() {
        wakeUpAt(1000, 0);

        assertEquals(0, stalledMillisAt(1020));
    }

    @Test
    void aStallJustBeforeTheSignalIsHandledCounts() {
        wakeUpAt(1000, STALL_TICKS);
        wakeUpAt(1020, 0);

        assertEquals(700, stalledMillisAt(1030));
    }

    @Test
    void aStallThatHasNotEndedCounts() {
        wakeUpAt(1000, 0);

        assertEquals(480, stalledMillisAt(1500));
    }

    @Test
    void stallsWithShortRunsBetweenThemAddUp() {
        wakeUpAt(1000, STALL_TICKS);
        wakeUpAt(1740, STALL_TICKS);

        assertEquals(1400, stalledMillisAt(1750));
    }

    @Test
    void aStallBeforeALongRunDoesNotCount() {
        wakeUpAt(1000, STALL_TICKS);
        wakeUpAt(1090, 0);

        assertEquals(0, stalledMillisAt(1100));
    }
}
