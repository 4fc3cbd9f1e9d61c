package cairnbridge.proxy;

import com.sun.jna.Library;
import com.sun.jna.Native;

/**
 * Sends signals by a system call. Guards against counting the start of a {@code kill} process,
 * which takes long on a busy machine, as time since the signal.
 */
final class SignalSender {
    private static final SystemLibrary SYSTEM = Native.load("c", SystemLibrary.class);

    /** {@code SIGTERM}. */
    private static final int TERMINATE = 15;

    /** The functions of the C library that are called. */
    private interface SystemLibrary extends Library {
        int kill(int processId, int signal);
    }

    private SignalSender() {}

    /** Sends SIGTERM, and returns the time just before, on the clock of {@link System#nanoTime}. */
    static long terminate(Process process) {
        long beforeNanos = System.nanoTime();
        if (SYSTEM.kill((int) process.pid(), TERMINATE) != 0) {
            throw new IllegalStateException("no process " + process.pid());
        }
        return beforeNanos;
    }
}
