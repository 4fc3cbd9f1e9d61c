package cairnbridge.proxy;

import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import java.util.PriorityQueue;

/**
 * The timers of the owner thread, ordered by their time, then by the order in which they were
 * scheduled. A timer is not cancelled: its target may be over when it is due. For the owner thread;
 * all times are ticks.
 */
final class TimerQueue {
    /** What a timer is for. */
    sealed interface TimerTarget {}

    /** The router has asked for a timer. */
    record RouterTimer(TimerId timer) implements TimerTarget {}

    /** An attempt must have ended. */
    record AttemptTimeout(UpstreamAttempt attempt) implements TimerTarget {}

    /** A request must have been answered. */
    record RequestDeadline(RequestId request) implements TimerTarget {}

    private record Timer(long dueTicks, long sequence, TimerTarget target)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueTicks != other.dueTicks
                    ? Long.compare(dueTicks, other.dueTicks)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private long lastSequence;

    /** Schedules a timer of the router. */
    void scheduleRouterTimer(long dueTicks, TimerId timer) {
        schedule(dueTicks, new RouterTimer(timer));
    }

    /** Schedules the time by which an attempt must have ended. */
    void scheduleAttemptTimeout(long dueTicks, UpstreamAttempt attempt) {
        schedule(dueTicks, new AttemptTimeout(attempt));
    }

    /** Schedules the time by which a request must have been answered. */
    void scheduleRequestDeadline(long dueTicks, RequestId request) {
        schedule(dueTicks, new RequestDeadline(request));
    }

    private void schedule(long dueTicks, TimerTarget target) {
        timers.add(new Timer(dueTicks, ++lastSequence, target));
    }

    /** Whether there is no timer. */
    boolean isEmpty() {
        return timers.isEmpty();
    }

    /** When the next timer is due; there must be one. */
    long nextDueTicks() {
        return timers.element().dueTicks();
    }

    /** Whether a timer is due. */
    boolean hasDue(long nowTicks) {
        return !timers.isEmpty() && nextDueTicks() <= nowTicks;
    }

    /** Removes the next timer, of which there must be one, and returns its target. */
    TimerTarget removeNext() {
        return timers.remove().target();
    }
}
