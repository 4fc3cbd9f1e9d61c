package cairnbridge.fleet.membership;

import java.util.PriorityQueue;

/** Pending actions, ordered by due time, then by the order in which they were added. */
final class TimerQueue {
    private record Timer(long due, long sequence, Runnable action) implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return due != other.due
                    ? Long.compare(due, other.due)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Timer> queue = new PriorityQueue<>();
    private long lastSequence;

    /** Schedules an action. */
    void schedule(long due, Runnable action) {
        queue.add(new Timer(due, ++lastSequence, action));
    }

    /** When the next action is due; {@code Long.MAX_VALUE} if there is none. */
    long nextDue() {
        return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().due;
    }

    /** Runs one action that is due; false if none is due. */
    boolean runNext(long now) {
        if (queue.isEmpty() || queue.peek().due > now) {
            return false;
        }
        queue.poll().action.run();
        return true;
    }
}
