package cairnbridge.decision;

import cairnbridge.decision.Ids.TimerId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Passes calls between the components of one router, immediately in the order in which they are
 * posted, or when a host timer fires. A component never directly calls a component that could call
 * back. It posts the call instead, so that each call runs after the previous one has completed and
 * sees consistent state.
 */
final class MessageLoop {
    private final Host host;
    private final ArrayDeque<Runnable> posted = new ArrayDeque<>();
    private final Map<Long, Runnable> scheduled = new HashMap<>();
    private long lastTimer;

    MessageLoop(Host host) {
        this.host = host;
    }

    /** Queues a call behind all calls that are already posted. */
    void post(Runnable call) {
        posted.add(call);
    }

    /** Posts a call after a delay in ticks, at least one tick. */
    void schedule(long delay, Runnable call) {
        scheduled.put(++lastTimer, call);
        host.startTimer(Math.max(1, delay), new TimerId(lastTimer));
    }

    /** Posts the call scheduled for a timer; an unknown timer is ignored. */
    void timerFired(TimerId timer) {
        Runnable call = scheduled.remove(timer.value());
        if (call != null) {
            post(call);
        }
    }

    /** Runs all posted calls, including those posted meanwhile, until the queue is empty. */
    void drain() {
        for (Runnable call = posted.poll(); call != null; call = posted.poll()) {
            call.run();
        }
    }
}
