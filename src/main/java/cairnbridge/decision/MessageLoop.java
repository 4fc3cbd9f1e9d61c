package cairnbridge.decision;

import cairnbridge.decision.Ids.TimerId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Carries calls between the components of one router: at once in the order of their posting, or
 * when a timer of the host fires. A component never calls into another that could call back; it
 * posts, so that each sees the others' state as it was when the call before it had ended.
 */
final class MessageLoop {
    private final Host host;
    private final ArrayDeque<Runnable> posted = new ArrayDeque<>();
    private final Map<Long, Runnable> scheduled = new HashMap<>();
    private long lastTimer;

    MessageLoop(Host host) {
        this.host = host;
    }

    /** Runs a call after all that are posted already. */
    void post(Runnable call) {
        posted.add(call);
    }

    /** Posts a call after a delay in ticks, of one tick at least. */
    void schedule(long delay, Runnable call) {
        scheduled.put(++lastTimer, call);
        host.startTimer(Math.max(1, delay), new TimerId(lastTimer));
    }

    /** Posts the call of a timer; one that is not known is ignored. */
    void timerFired(TimerId timer) {
        Runnable call = scheduled.remove(timer.value());
        if (call != null) {
            post(call);
        }
    }

    /** Runs posted calls, and those that they post, until none is left. */
    void drain() {
        for (Runnable call = posted.poll(); call != null; call = posted.poll()) {
            call.run();
        }
    }
}
