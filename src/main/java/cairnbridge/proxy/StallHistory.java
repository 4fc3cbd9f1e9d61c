package cairnbridge.proxy;

import cairnbridge.time.Ticks;
import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/**
 * The latest stalls of the process, as the coordinator thread has measured them. Guards against a
 * shutdown that counts its time from its own begin, although the process received the signal during
 * a stall before. Thread-safe; all times and durations are ticks.
 */
final class StallHistory {
    private static final int MAX_STALLS = 128;

    /**
     * The running time from a signal to the begin of the shutdown that it causes, at most: the
     * virtual machine passes the signal on from thread to thread.
     */
    private static final long SIGNAL_HANDLING_TICKS = 100 * Ticks.MILLISECOND;

    private record Stall(long fromTicks, long toTicks) {}

    private final long idleWakeupTicks;

    /** The stalls that have ended, the latest first. */
    @GuardedBy("this")
    private final Deque<Stall> stalls = new ArrayDeque<>();

    @GuardedBy("this")
    private long lastWakeupTicks;

    /**
     * Creates an empty history.
     *
     * @param idleWakeupTicks how long the coordinator thread waits before it wakes up, at most
     */
    StallHistory(long idleWakeupTicks, long nowTicks) {
        this.idleWakeupTicks = idleWakeupTicks;
        lastWakeupTicks = nowTicks;
    }

    /** Records that the coordinator thread has woken up, late by the given time or in time (0). */
    synchronized void wokeUp(long nowTicks, long delayTicks) {
        lastWakeupTicks = nowTicks;
        if (delayTicks > 0) {
            stalls.addFirst(new Stall(nowTicks - delayTicks, nowTicks));
        }
        if (stalls.size() > MAX_STALLS) {
            stalls.removeLast();
        }
    }

    /**
     * For how long the process has been stalled, at most, since a signal was sent that is handled
     * now. A stall from which the coordinator thread has not woken up yet is included.
     */
    synchronized long stalledTicksSinceSignal(long nowTicks) {
        long sinceTicks = Math.min(nowTicks, lastWakeupTicks + idleWakeupTicks);
        long stalledTicks = nowTicks - sinceTicks;
        long runningTicks = 0;
        Iterator<Stall> latestFirst = stalls.iterator();
        while (latestFirst.hasNext()) {
            Stall stall = latestFirst.next();
            runningTicks += Math.max(0, sinceTicks - stall.toTicks());
            if (runningTicks >= SIGNAL_HANDLING_TICKS) {
                return stalledTicks;
            }
            stalledTicks += stall.toTicks() - stall.fromTicks();
            sinceTicks = stall.fromTicks();
        }
        return stalledTicks;
    }
}
