package cairnbridge.recovery;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.hash.SplitMix64;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which keys are cached again, and which member of a zone fetches one that is not. Each key has one
 * fetcher among the zone's members, by the highest hash of both (rendezvous hashing, Thaler and
 * Ravishankar 1998), which lets a read of it through at once; the others wait for as long as a
 * fetch takes, and find it cached. Members do not talk about it. Memory is bounded: of two
 * generations of keys the older one is forgotten.
 */
final class KeyAdmission {
    private static final int MAX_KEYS_PER_SET = 32_768;

    private final String self;
    private List<String> zoneMembers;
    private Set<KeyId> cached = new HashSet<>();
    private Set<KeyId> olderCached = new HashSet<>();

    /** Keys that this member fetches, and by how many requests. */
    private final Map<KeyId, Integer> fetches = new HashMap<>();

    /** When a key that another member fetches was first requested here. */
    private Map<KeyId, Long> requestedAt = new HashMap<>();

    private Map<KeyId, Long> olderRequestedAt = new HashMap<>();

    KeyAdmission(String self) {
        this.self = self;
        zoneMembers = List.of(self);
    }

    /** Sets which members of this one's zone take requests, this one included. */
    void zoneMembersChanged(List<String> members) {
        zoneMembers = members;
    }

    boolean isCached(KeyId key) {
        return cached.contains(key) || olderCached.contains(key);
    }

    boolean isBeingFetched(KeyId key) {
        return fetches.containsKey(key);
    }

    /** Whether a read has to wait for another member, whose fetch takes this long. */
    boolean mustWait(KeyId key, long fetchDuration, long now) {
        if (fetcherOf(key).equals(self)) {
            return false;
        }
        Long since = requestedAt.getOrDefault(key, olderRequestedAt.get(key));
        if (since == null) {
            recordRequest(key, now);
            return true;
        }
        return now - since < fetchDuration;
    }

    private void recordRequest(KeyId key, long now) {
        if (requestedAt.size() >= MAX_KEYS_PER_SET) {
            olderRequestedAt = requestedAt;
            requestedAt = new HashMap<>();
        }
        requestedAt.put(key, now);
    }

    private String fetcherOf(KeyId key) {
        Comparator<String> byWeight =
                Comparator.comparingLong(id -> SplitMix64.mix(id.hashCode(), key.value()));
        return zoneMembers.stream()
                .max(byWeight.thenComparing(Comparator.naturalOrder()))
                .orElse(self);
    }

    void fetchStarted(KeyId key) {
        fetches.merge(key, 1, Integer::sum);
    }

    /** A fetch has ended; it succeeded if the key's value was received. */
    void fetchEnded(KeyId key, boolean succeeded) {
        fetches.computeIfPresent(key, (same, count) -> count > 1 ? count - 1 : null);
        if (succeeded) {
            recordCached(key);
        }
    }

    private void recordCached(KeyId key) {
        if (cached.size() >= MAX_KEYS_PER_SET) {
            olderCached = cached;
            cached = new HashSet<>();
        }
        cached.add(key);
    }
}
