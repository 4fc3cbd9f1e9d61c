package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cairnbridge.time.Ticks;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The rate at which a response arrives now, whatever it was before. */
class RecentRateTest {
    private static final long BYTES_PER_MILLI = 2;

    private final RecentRate rate = new RecentRate();
    private long nowMillis;

    @BeforeEach
    void start() {
        rate.start(0);
    }

    private void receive(int pieces, int pieceBytes) {
        for (int i = 0; i < pieces; i++) {
            nowMillis += 50;
            rate.add(pieceBytes, Ticks.fromMillis(nowMillis));
        }
    }

    private boolean isFast(long millis) {
        return rate.isAtLeast(BYTES_PER_MILLI, Ticks.fromMillis(millis));
    }

    /** Guards against a slow response that is broken off while its server still writes. */
    @Test
    void aResponseThatArrivesAtTenKilobytesASecondIsFastEnough() {
        receive(100, 500);
        assertTrue(isFast(nowMillis + 50));
    }

    /** Guards against a response of a few bytes a time that is passed on for ever. */
    @Test
    void aFewBytesATimeAreNotFastEnough() {
        receive(100, 9);
        assertFalse(isFast(nowMillis));
    }

    /** Guards against a response that counts as fast after it has stopped. */
    @Test
    void whatArrivedBeforeAPauseDoesNotCountForLong() {
        receive(20, 1000);
        assertFalse(isFast(nowMillis + 350));
    }
}
