package cairnbridge.proxy;

import cairnbridge.hash.Fnv1a;
import cairnbridge.time.Ticks;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The trace ids of requests that may have run and whose clients left before the answer. Guards
 * against a second execution when such a request comes again. Only hashes are kept, so that the
 * length of an id does not matter. Not thread-safe; times are ticks.
 */
final class AbandonedTraceIds {
    /** For how long an id is remembered: the longest TTL. */
    private static final long REMEMBERED_TICKS = 60 * Ticks.SECOND;

    /** The most ids that are remembered. */
    static final int MAX_IDS = 4096;

    /** When each id was added, by its hash, in the order of adding. */
    private final Map<Long, Long> addedAtTicks = new LinkedHashMap<>();

    /** Remembers an id; the oldest one is forgotten if there are too many. */
    void add(String traceId, long now) {
        removeExpired(now);
        addedAtTicks.putIfAbsent(Fnv1a.hash(traceId), now);
        if (addedAtTicks.size() > MAX_IDS) {
            Iterator<Long> oldest = addedAtTicks.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Forgets an id. */
    void remove(String traceId) {
        addedAtTicks.remove(Fnv1a.hash(traceId));
    }

    /** Whether the id is remembered. */
    boolean contains(String traceId, long now) {
        removeExpired(now);
        return addedAtTicks.containsKey(Fnv1a.hash(traceId));
    }

    private void removeExpired(long now) {
        Iterator<Long> times = addedAtTicks.values().iterator();
        while (times.hasNext() && now - times.next() >= REMEMBERED_TICKS) {
            times.remove();
        }
    }
}
