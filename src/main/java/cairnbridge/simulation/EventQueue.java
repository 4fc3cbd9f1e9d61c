package cairnbridge.simulation;

import cairnbridge.time.Ticks;
import java.util.PriorityQueue;

/**
 * The event queue and the clock of a discrete-event simulation. Events due at the same time run in
 * the order in which they were scheduled, so that runs with the same input are reproducible. Times
 * are in ticks of a tenth of a millisecond.
 */
public final class EventQueue {
    /** Number of ticks in a second of simulated time. */
    public static final long SECOND = Ticks.SECOND;

    /** Number of ticks in a millisecond of simulated time. */
    public static final long MILLI = Ticks.MILLISECOND;

    private record Event(long time, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time
                    ? Long.compare(time, other.time)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long lastSequence;
    private long eventsRun;

    /** Creates an empty queue whose clock starts at the given time. */
    public EventQueue(long start) {
        now = start;
    }

    /** The current simulated time. */
    public long now() {
        return now;
    }

    /** Number of events that have run. */
    public long eventsRun() {
        return eventsRun;
    }

    /** Schedules an action after a delay; a negative delay counts as zero. */
    public void schedule(long delay, Runnable action) {
        lastSequence++;
        events.add(new Event(now + Math.max(0, delay), lastSequence, action));
    }

    /**
     * Runs every event due at or before the given time, including those scheduled meanwhile, and
     * then advances the clock to that time.
     */
    public void runUntil(long time) {
        while (!events.isEmpty() && events.peek().time() <= time) {
            Event event = events.poll();
            now = event.time();
            eventsRun++;
            event.action().run();
        }
        now = Math.max(now, time);
    }
}
