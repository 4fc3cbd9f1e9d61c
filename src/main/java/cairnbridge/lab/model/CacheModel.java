package cairnbridge.lab.model;

import cairnbridge.decision.Event.Ending;
import cairnbridge.drill.simulated.Agenda;
import cairnbridge.drill.standin.CacheNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * A cache: so many requests at a time, a span for each, twice that while it is cold, a bounded
 * store of which the least lately used is forgotten. One that is cold and has too many at a time
 * refuses for a second. The drill's own stand-in, as a model; what it can be made to do is the
 * same.
 */
public final class CacheModel {
    private static final int LARGEST = 100_000;
    private static final long COLD = CacheNode.COLD_MILLIS * Agenda.MILLI,
            DOWN = CacheNode.DOWN_MILLIS * Agenda.MILLI,
            LATE = CacheNode.LATE_MILLIS * Agenda.MILLI,
            USUAL = CacheNode.SPAN_MILLIS * Agenda.MILLI,
            PATIENCE = CacheNode.PATIENCE_MILLIS * Agenda.MILLI;

    private final Agenda agenda;
    private final String zone;
    private final long began;
    private final Places places;
    private final Map<Long, Boolean> values = new LinkedHashMap<>(16, 0.75f, true);
    private long span = USUAL, downUntil, fellOver, turn, asked;
    private boolean alive = true, failing, grey;

    public CacheModel(Agenda agenda, String zone) {
        this.agenda = agenda;
        this.zone = zone;
        began = agenda.now();
        places = new Places(agenda, CacheNode.SLOTS, PATIENCE);
    }

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

    public void span(long tenths) {
        span = tenths;
    }

    public void fails(boolean on) {
        failing = on;
    }

    public void grey(boolean on) {
        grey = on;
    }

    public void store(long key) {
        values.put(key, true);
        if (values.size() > LARGEST) {
            values.remove(values.keySet().iterator().next());
        }
    }

    /**
     * A request has come; then is told how it ends, when it does, unless the cache dies meanwhile.
     */
    public void take(Request request, Consumer<Reply> then) {
        asked++;
        long now = agenda.now();
        boolean cold = now - began < COLD;
        if (cold && places.busy() >= CacheNode.COLD_FALLS_OVER) {
            fellOver++;
            downUntil = now + DOWN;
        }
        if (now < downUntil) {
            then.accept(new Reply(Ending.FULL, 0));
            return;
        }
        places.take(() -> begin(request, cold, then), () -> then.accept(new Reply(Ending.FULL, 0)));
    }

    private void begin(Request request, boolean cold, Consumer<Reply> then) {
        boolean late = grey && turn++ % 3 == 0;
        agenda.in(
                late ? LATE : cold ? 2 * span : span,
                () -> {
                    places.give();
                    if (!alive) {
                        return;
                    }
                    if (failing) {
                        then.accept(new Reply(Ending.ERROR, 0));
                        return;
                    }
                    boolean hit = values.get(request.key()) != null;
                    then.accept(hit ? new Reply(Ending.ACKED, 1) : new Reply(Ending.MISS, 2));
                });
    }

    public boolean answersProbes() {
        return alive && !failing && agenda.now() >= downUntil;
    }

    /** Requests that came, whatever became of them. */
    public long asked() {
        return asked;
    }

    public long fellOver() {
        return fellOver;
    }
}
