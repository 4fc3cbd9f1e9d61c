package cairnbridge.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The bound on the time at which the last byte of a body was sent. */
class ReadPausesTest {
    private static final long UNKNOWN = -1;
    private static final long MAX = ReadPauses.MAX_UNREAD_BYTES;

    private final ReadPauses pauses = new ReadPauses();

    /** Guards against a deadline that counts from the read of bytes which had waited. */
    @Test
    void whatIsReadAfterAPauseMayHaveBeenSentWhenItBegan() {
        pauses.paused(100, 1000, 5000);
        pauses.paused(200, 2000, 4000);
        assertEquals(200, pauses.unreadNanos(300));
    }

    @Test
    void whatIsReadAfterTheInputWasDrainedHasJustBeenSent() {
        pauses.paused(100, 1000, 5000);
        pauses.drained();
        assertEquals(0, pauses.unreadNanos(300));
    }

    /** Guards against a late answer to a body whose last 4.7 MB wait in the systems' buffers. */
    @Test
    void aBodyWhoseRestTheSystemsMayHoldCountsFromItsPause() {
        pauses.paused(100, 3_300_000, 4_700_000);
        assertEquals(200, pauses.unreadNanos(300));
    }

    /** Guards against ending an upload of which the client has not sent the end. */
    @Test
    void aClientWithMoreLeftThanTheSystemsHoldHasNotSentTheEnd() {
        pauses.paused(100, 1000, MAX + 1);
        assertEquals(0, pauses.unreadNanos(300));
        pauses.paused(400, 2001, MAX);
        assertEquals(100, pauses.unreadNanos(500));
    }

    /** Guards against ending an upload in chunks because it is long. */
    @Test
    void theBoundOnABodyOfUnknownLengthMovesAsItIsRead() {
        pauses.paused(100, 0, UNKNOWN);
        pauses.paused(200, MAX, UNKNOWN);
        assertEquals(150, pauses.unreadNanos(250));
        pauses.paused(300, 2 * MAX, UNKNOWN);
        assertEquals(150, pauses.unreadNanos(350));
    }
}
