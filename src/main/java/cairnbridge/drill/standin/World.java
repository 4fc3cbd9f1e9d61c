package cairnbridge.drill.standin;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * What the stand-ins know of one another, as the platform's own servers do: which caches missed for
 * which request, so that the origin's answer is stored there. And what they count.
 */
public final class World {
    private final Map<String, Set<CacheNode>> missed = new ConcurrentHashMap<>();

    /** How often each at-most-once op has taken effect, by its id. */
    private final Map<String, AtomicLong> effects = new ConcurrentHashMap<>();

    void missed(String trace, CacheNode cache) {
        missed.computeIfAbsent(trace, id -> ConcurrentHashMap.newKeySet()).add(cache);
    }

    void fetched(String trace, String key, byte[] value) {
        Set<CacheNode> caches = missed.remove(trace);
        if (caches != null) {
            caches.forEach(cache -> cache.store(key, value));
        }
    }

    void effect(String trace) {
        effects.computeIfAbsent(trace, id -> new AtomicLong()).incrementAndGet();
    }

    /** Ops that took effect more than once. */
    public long twice() {
        return effects.values().stream().filter(count -> count.get() > 1).count();
    }
}
