package cairnbridge.lab.model;

import cairnbridge.drill.simulated.Agenda;
import cairnbridge.decision.Event.Ending;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * The store behind the caches: so many requests at a time, a span for each, and who would wait too long is
 * turned away. It stores what it gives at the caches that missed it for the same op.
 */
public final class OriginModel {
    private static final int SLOTS = 24;
    private static final long PATIENCE = 300 * Agenda.MILLI, USUAL = 15 * Agenda.MILLI;

    private final Agenda agenda;
    private final Places places;
    private final Map<Long, Set<CacheModel>> missed = new HashMap<>();
    private final Map<Long, Integer> effects = new HashMap<>();
    private boolean up = true;
    private long span = USUAL, fetches, writes, turnedAway, twice;

    /** size: how many times as much room it has. */
    public OriginModel(Agenda agenda, int size) {
        this.agenda = agenda;
        places = new Places(agenda, SLOTS * size, PATIENCE);
    }

    public void span(long tenths) {
        span = tenths;
    }

    public void places(int many) {
        places.resize(many);
    }

    /** Whether it answers a probe. */
    public boolean isUp() {
        return up;
    }

    public void up(boolean on) {
        up = on;
    }

    /** A cache has missed a key for this op. */
    public void missed(Request request, CacheModel cache) {
        missed.computeIfAbsent(request.trace(), op -> new HashSet<>()).add(cache);
    }

    /** Nothing more comes of an op. */
    public void forget(long trace) {
        missed.remove(trace);
    }

    /** effect: told of each write as it takes effect. */
    public void take(Request request, Consumer<Reply> then, BiConsumer<Long, Long> effect) {
        places.take(() -> agenda.in(span, () -> {
            places.give();
            if (request.write()) {
                writes++;
                int count = effects.merge(request.trace(), 1, Integer::sum);
                twice += count == 2 ? 1 : 0;
                effect.accept(request.trace(), request.key());
            } else {
                fetches++;
                Set<CacheModel> caches = missed.remove(request.trace());
                if (caches != null) {
                    caches.forEach(cache -> cache.store(request.key()));
                }
            }
            then.accept(new Reply(Ending.ACKED, 0));
        }), () -> {
            turnedAway++;
            then.accept(new Reply(Ending.FULL, 0));
        });
    }

    public long fetches() {
        return fetches;
    }

    public long writes() {
        return writes;
    }

    public long turnedAway() {
        return turnedAway;
    }

    /** Ops that took effect more than once. */
    public long twice() {
        return twice;
    }
}
