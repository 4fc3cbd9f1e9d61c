package cairnbridge.decision;

import cairnbridge.decision.Ids.TimerId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * Carries notes between the parts of one router: into inboxes now, or when a timer of the host
 * fires.
 */
final class MessageLoop {
    private record Wake(RouterComponent to, RouterMessage note) {}

    private final Host host;
    private final ArrayDeque<RouterComponent> ready = new ArrayDeque<>();
    private final Map<Long, Wake> wakes = new HashMap<>();
    private long lastTimer;

    MessageLoop(Host host) {
        this.host = host;
    }

    void post(RouterComponent to, RouterMessage note) {
        to.inbox.add(note);
        ready.add(to);
    }

    void wake(RouterComponent to, long in, RouterMessage note) {
        wakes.put(++lastTimer, new Wake(to, note));
        host.startTimer(Math.max(1, in), new TimerId(lastTimer));
    }

    void fired(TimerId timer) {
        Wake wake = wakes.remove(timer.value());
        if (wake != null) {
            post(wake.to, wake.note);
        }
    }

    /** Hands notes out in the order of their posting until every inbox is empty. */
    void empty() {
        for (RouterComponent part = ready.poll(); part != null; part = ready.poll()) {
            part.take(part.inbox.poll());
        }
    }
}
