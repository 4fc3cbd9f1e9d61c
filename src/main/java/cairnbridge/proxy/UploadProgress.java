package cairnbridge.proxy;

import cairnbridge.time.Ticks;

/**
 * Whether a streamed request body is taken more slowly than the slowest client may send it, while
 * its client waits to send the rest. Used only by the coordinator thread; all times are ticks.
 */
final class UploadProgress {
    /** The most that the time between two calls counts, so that a stall of the process does not. */
    private static final long MAX_STEP_TICKS = 200 * Ticks.MILLISECOND;

    private final long windowTicks;
    private long latestCallTicks;
    private long waitedTicks;
    private long bytesAtStart;

    /**
     * Creates an instance that begins to measure now.
     *
     * @param windowTicks the time over which the rate is measured
     */
    UploadProgress(long windowTicks, long now) {
        this.windowTicks = windowTicks;
        latestCallTicks = now;
    }

    /**
     * Measures the rate, and begins anew after each window.
     *
     * @param takenBytes the bytes of the body that have been read from the client
     * @param clientWaited whether the client has waited since the last call, with bytes to send
     * @return whether a window has ended in which too little was taken
     */
    boolean isTooSlow(long now, long takenBytes, boolean clientWaited) {
        waitedTicks += Math.min(now - latestCallTicks, MAX_STEP_TICKS);
        latestCallTicks = now;
        if (clientWaited && waitedTicks < windowTicks) {
            return false;
        }
        long leastBytes = Ticks.toMillis(waitedTicks) * ListenerState.MIN_BODY_BYTES_PER_MILLI;
        boolean tooSlow = clientWaited && takenBytes - bytesAtStart < leastBytes;
        waitedTicks = 0;
        bytesAtStart = takenBytes;
        return tooSlow;
    }
}
