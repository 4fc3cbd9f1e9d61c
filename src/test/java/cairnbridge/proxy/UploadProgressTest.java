package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import cairnbridge.time.Ticks;
import org.junit.jupiter.api.Test;

/** When a server that takes a long body slowly is given up. */
class UploadProgressTest {
    private static final long WINDOW_TICKS = 400 * Ticks.MILLISECOND;
    private static final long CHECK_TICKS = 100 * Ticks.MILLISECOND;

    private final UploadProgress progress = new UploadProgress(WINDOW_TICKS, 0);
    private long now;

    /** The number of checks after which the server is given up; 0 if it is not. */
    private int checksUntilTooSlow(int bytesEachCheck, boolean clientWaits) {
        for (int check = 1; check <= 20; check++) {
            now += CHECK_TICKS;
            if (progress.isTooSlow(now, (long) check * bytesEachCheck, clientWaits)) {
                return check;
            }
        }
        return 0;
    }

    @Test
    void aServerThatTakesLittleForAWholeTtlIsGivenUp() {
        assertEquals(4, checksUntilTooSlow(400, true));
    }

    /** Guards against ending an upload that its server takes at a sound rate. */
    @Test
    void aServerThatTakesAsMuchAsTheSlowestClientSendsIsNotGivenUp() {
        assertEquals(0, checksUntilTooSlow(6400, true));
    }

    /** Guards against ending an upload whose client is the slow one. */
    @Test
    void aClientThatDoesNotWaitIsNotHeldAgainstItsServer() {
        assertEquals(0, checksUntilTooSlow(400, false));
    }

    /** Guards against ending uploads because the proxy itself was stalled. */
    @Test
    void aStallOfTheProcessDoesNotCountAsSlowness() {
        assertFalse(progress.isTooSlow(CHECK_TICKS, 0, true));
        assertFalse(progress.isTooSlow(20 * CHECK_TICKS, 0, true));
    }
}
