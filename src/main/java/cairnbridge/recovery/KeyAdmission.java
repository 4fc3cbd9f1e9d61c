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
 * Tracks which keys are cached again after the power loss, and decides which member of a zone
 * fetches each other key. The fetcher of a key is the member with the highest hash of member and
 * key (rendezvous hashing, Thaler and Ravishankar 1998), so members agree on it without messages.
 * The fetcher admits a read of the key at once. The other members delay theirs for as long as a
 * fetch takes, after which the key is cached. Memory is bounded: when a set of keys is full, it
 * replaces the older set, whose keys are forgotten.
 */
final class KeyAdmission {
    private static final int MAX_KEYS_PER_SET = 32_768;

    private final String self;
    private List<String> zoneMembers;
    private Set<KeyId> cached = new HashSet<>();
    private Set<KeyId> olderCached = new HashSet<>();

    /** Keys that this member is fetching, with the number of requests that fetch each. */
    private final Map<KeyId, Integer> fetches = new HashMap<>();

    /** When a key that another member fetches was first requested here. */
    private Map<KeyId, Long> requestedAt = new HashMap<>();

    private Map<KeyId, Long> olderRequestedAt = new HashMap<>();

    KeyAdmission(String self) {
        this.self = self;
        zoneMembers = List.of(self);
    }

    /** Sets the serving members of this member's zone, including this member. */
    void zoneMembersChanged(List<String> members) {
        zoneMembers = members;
    }

    boolean isCached(KeyId key) {
        return cached.contains(key) || olderCached.contains(key);
    }

    boolean isBeingFetched(KeyId key) {
        return fetches.containsKey(key);
    }

    /**
     * Whether a read has to wait for the member that fetches its key. The first read of a key
     * starts the wait, which ends after the duration of a fetch.
     */
    boolean mustWait(KeyId key, long fetchDuration, long now) {
        if (fetcherOf(key).equals(self)) {
            return false;
        }
        Long firstRequest = requestedAt.getOrDefault(key, olderRequestedAt.get(key));
        if (firstRequest == null) {
            recordRequest(key, now);
            return true;
        }
        return now - firstRequest < fetchDuration;
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

    /** Records the end of a fetch. If it succeeded, the key counts as cached. */
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
