package cairnbridge.proxy;

import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Ids.TimerId;
import java.util.PriorityQueue;

/**
 * The timers of the coordinator, ordered by due time, then by the order in which they were
 * scheduled. Timers cannot be cancelled: the request or attempt may have ended when its timer is
 * due. Used only by the coordinator thread; all times are ticks.
 */
final class TimerQueue {
    /** The purpose of a timer, which determines the action when it is due. */
    sealed interface TimerTarget {}

    /** A timer that the router has started. */
    record RouterTimer(TimerId timer) implements TimerTarget {}

    /**
     * The time by which an attempt must have ended. Guards against keeping the bodies of an attempt
     * in memory until its timeout: the timer names the attempt and does not refer to it.
     */
    record AttemptTimeout(RequestId request, int attemptNumber) implements TimerTarget {}

    /** The time by which a request must have been answered. */
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

    /** Schedules a timer that the router has started. */
    void scheduleRouterTimer(long dueTicks, TimerId timer) {
        schedule(dueTicks, new RouterTimer(timer));
    }

    /** Schedules the timeout of an attempt. */
    void scheduleAttemptTimeout(long dueTicks, UpstreamAttempt attempt) {
        schedule(dueTicks, new AttemptTimeout(attempt.exchange.requestId, attempt.attemptNumber));
    }

    /** Schedules the deadline of a request. */
    void scheduleRequestDeadline(long dueTicks, RequestId request) {
        schedule(dueTicks, new RequestDeadline(request));
    }

    private void schedule(long dueTicks, TimerTarget target) {
        timers.add(new Timer(dueTicks, ++lastSequence, target));
    }

    /** Whether no timer is scheduled. */
    boolean isEmpty() {
        return timers.isEmpty();
    }

    /** When the next timer is due; the queue must not be empty. */
    long nextDueTicks() {
        return timers.element().dueTicks();
    }

    /** Whether the next timer is due at this time. */
    boolean hasDue(long nowTicks) {
        return !timers.isEmpty() && nextDueTicks() <= nowTicks;
    }

    /** Removes the next timer and returns its target; the queue must not be empty. */
    TimerTarget removeNext() {
        return timers.remove().target();
    }
}
