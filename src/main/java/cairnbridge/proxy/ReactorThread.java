package cairnbridge.proxy;

/**
 * The reactor's thread. Records its polls by the checks for an interrupt that precede each of them,
 * because the HTTP library has no callback for a poll.
 */
final class ReactorThread extends Thread {
    private final PollTimes pollTimes;

    /** Creates a thread that runs the reactor's loop. */
    ReactorThread(Runnable loop, PollTimes pollTimes) {
        super(loop);
        this.pollTimes = pollTimes;
    }

    @Override
    public boolean isInterrupted() {
        if (Thread.currentThread() == this) {
            pollTimes.recordCheck();
        }
        return super.isInterrupted();
    }
}
