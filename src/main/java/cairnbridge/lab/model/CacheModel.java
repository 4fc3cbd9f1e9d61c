package cairnbridge.lab.model;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.drill.standin.CacheBehavior;
import cairnbridge.simulation.EventQueue;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A model of a cache server in simulated time: as the drill's stand-in it behaves as its {@link
 * CacheBehavior} says; its store is bounded and drops the least recently used key.
 */
public final class CacheModel {
    private static final int MAX_KEYS = 100_000;

    private final EventQueue agenda;
    private final String zone;
    private final CacheBehavior behavior;
    private final Places places;
    private final Map<Long, Boolean> values = new LinkedHashMap<>(16, 0.75f, true);
    private long asked;
    private boolean alive = true;

    /** An empty cache in a zone. */
    public CacheModel(EventQueue agenda, String zone) {
        this.agenda = agenda;
        this.zone = zone;
        behavior = new CacheBehavior(EventQueue.MILLI, agenda.now());
        places = new Places(agenda, CacheBehavior.SLOTS, behavior.patience());
    }

    /** Its zone. */
    public String zone() {
        return zone;
    }

    /** Connections are refused from now on. */
    public void kill() {
        alive = false;
    }

    public boolean isAlive() {
        return alive;
    }

    /** How this cache behaves; what is changed there takes effect at the next request. */
    public CacheBehavior behavior() {
        return behavior;
    }

    /** Stores a key, and drops the least recently used one if there are too many. */
    public void store(long key) {
        values.put(key, true);
        if (values.size() > MAX_KEYS) {
            values.remove(values.keySet().iterator().next());
        }
    }

    /**
     * A request has come; then is told how it ends, when it does, unless the cache dies meanwhile.
     */
    public void take(Request request, Consumer<Reply> then) {
        asked++;
        long now = agenda.now();
        boolean cold = behavior.isCold(now);
        if (!behavior.admits(now, places.busy())) {
            then.accept(new Reply(AttemptOutcome.OVERLOADED, 0));
            return;
        }
        places.take(
                () -> begin(request, cold, then),
                () -> then.accept(new Reply(AttemptOutcome.OVERLOADED, 0)));
    }

    private void begin(Request request, boolean cold, Consumer<Reply> then) {
        agenda.schedule(behavior.nextServiceTime(cold), () -> end(request, then));
    }

    private void end(Request request, Consumer<Reply> then) {
        places.give();
        if (alive) {
            then.accept(reply(request));
        }
    }

    private Reply reply(Request request) {
        if (behavior.isFailing()) {
            return new Reply(AttemptOutcome.ERROR, 0);
        }
        boolean hit = values.get(request.key()) != null;
        return hit ? new Reply(AttemptOutcome.SUCCESS, 1) : new Reply(AttemptOutcome.CACHE_MISS, 2);
    }

    /** Whether a health probe that arrives now is answered well. */
    public boolean answersProbes() {
        return alive && behavior.answersProbes(agenda.now());
    }

    /** Requests that came, whatever became of them. */
    public long asked() {
        return asked;
    }
}
