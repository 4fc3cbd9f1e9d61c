package cairnbridge.lab.model;

import cairnbridge.decision.Event.AttemptOutcome;
import cairnbridge.drill.standin.Origin;
import cairnbridge.simulation.EventQueue;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * The store behind the caches: so many requests at a time, a span for each, and who would wait too
 * long is turned away. It stores what it gives at the caches that missed it for the same op.
 */
public final class OriginModel {
    private static final long PATIENCE = Origin.PATIENCE_MILLIS * EventQueue.MILLI;
    private static final long USUAL = Origin.SPAN_MILLIS * EventQueue.MILLI;

    private final EventQueue agenda;
    private final Places places;
    private final Map<Long, Set<CacheModel>> missed = new HashMap<>();
    private final Map<Long, Integer> effects = new HashMap<>();
    private long span = USUAL;
    private long fetches;
    private long writes;
    private long turnedAway;
    private long twice;

    /** size: how many times as much room it has. */
    public OriginModel(EventQueue agenda, int size) {
        this.agenda = agenda;
        places = new Places(agenda, Origin.SLOTS * size, PATIENCE);
    }

    /** Sets the duration of a request. */
    public void span(long tenths) {
        span = tenths;
    }

    /** Sets how many requests are served at a time. */
    public void places(int many) {
        places.resize(many);
    }

    /** A cache has missed a key for this op. */
    public void missed(Request request, CacheModel cache) {
        missed.computeIfAbsent(request.trace(), op -> new HashSet<>()).add(cache);
    }

    /** A request has come; then is told how it ends. */
    public void take(Request request, Consumer<Reply> then) {
        places.take(
                () ->
                        agenda.schedule(
                                span,
                                () -> {
                                    places.give();
                                    if (request.write()) {
                                        writes++;
                                        int count = effects.merge(request.trace(), 1, Integer::sum);
                                        twice += count == 2 ? 1 : 0;
                                    } else {
                                        fetches++;
                                        Set<CacheModel> caches = missed.remove(request.trace());
                                        if (caches != null) {
                                            caches.forEach(cache -> cache.store(request.key()));
                                        }
                                    }
                                    then.accept(new Reply(AttemptOutcome.SUCCESS, 0));
                                }),
                () -> {
                    turnedAway++;
                    then.accept(new Reply(AttemptOutcome.OVERLOADED, 0));
                });
    }

    /** Reads so far. */
    public long fetches() {
        return fetches;
    }

    /** Writes so far. */
    public long writes() {
        return writes;
    }

    /** Requests rejected so far. */
    public long turnedAway() {
        return turnedAway;
    }

    /** Ops that took effect more than once. */
    public long twice() {
        return twice;
    }
}
