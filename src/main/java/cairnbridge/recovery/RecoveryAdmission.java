package cairnbridge.recovery;

import cairnbridge.decision.Ids.KeyId;
import cairnbridge.decision.Ids.RequestId;
import cairnbridge.decision.Settings.Category;
import cairnbridge.decision.Settings.Effect;
import cairnbridge.recovery.AdmissionDecision.Reason;
import cairnbridge.time.Ticks;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Admits or rejects requests during recovery, and sets the retry delay of rejected ones. */
final class RecoveryAdmission {
    private static final long MIN_RETRY_AFTER = 20 * Ticks.MILLISECOND;
    private static final long MAX_RETRY_AFTER = 2 * Ticks.SECOND;

    /** The mean retry delay of requests that the proxy does not serve yet. */
    private static final long NOT_YET_SERVED_RETRY_AFTER = Ticks.SECOND / 2;

    /** The assumed latency of a fetch from the origin before one has been measured. */
    private static final long DEFAULT_FETCH_LATENCY = 20 * Ticks.MILLISECOND;

    /** The count of recent rejections is halved in this time. */
    private static final double REJECTION_HALF_LIFE = Ticks.SECOND;

    /** An admitted request that counts towards the origin limit, as its key may not be cached. */
    private static final class AdmittedRequest {
        /** The key that the request fetches; null if the request is not a read of a key. */
        private final KeyId key;

        private boolean succeeded;

        AdmittedRequest(KeyId key) {
            this.key = key;
        }
    }

    private final List<Category> categories;
    private final CategoryPriorities priorities;
    private final KeyAdmission keys;
    private final OriginConcurrencyLimit originLimit;
    private final RandomGenerator random;
    private final Map<RequestId, AdmittedRequest> inFlight = new HashMap<>();
    private long failedAsUnknown;
    private long rejected;
    private int requestsInPhase;
    private long throttledAt;
    private double recentRejections;
    private long rejectionsUpdatedAt;

    RecoveryAdmission(
            List<Category> categories,
            String member,
            OriginConcurrencyLimit originLimit,
            RandomGenerator random) {
        this.categories = categories;
        this.originLimit = originLimit;
        this.random = random;
        priorities = new CategoryPriorities(categories);
        keys = new KeyAdmission(member);
    }

    void phaseBegan(long now) {
        throttledAt = now;
        requestsInPhase = 0;
    }

    void zoneMembersChanged(List<String> members) {
        keys.zoneMembersChanged(members);
    }

    /** The requests of this phase, except those rejected because the list is unconfirmed. */
    int requestsInPhase() {
        return requestsInPhase;
    }

    /** Whether the origin limit has rejected no request of the current phase for this long. */
    boolean isUnthrottledFor(long duration, long now) {
        return now - throttledAt >= duration;
    }

    long failedAsUnknown() {
        return failedAsUnknown;
    }

    long rejected() {
        return rejected;
    }

    AdmissionDecision failUnknownOutcome() {
        failedAsUnknown++;
        return AdmissionDecision.FAIL_UNKNOWN_OUTCOME;
    }

    AdmissionDecision admit(
            IncomingRequest request, RecoveryPhase phase, boolean listConfirmed, long now) {
        int category = request.category().value();
        boolean notIdempotent = categories.get(category).effect() != Effect.IDEMPOTENT;
        if (notIdempotent && !listConfirmed) {
            return reject(Reason.ENDPOINT_LIST_UNCONFIRMED, NOT_YET_SERVED_RETRY_AFTER, now);
        }
        if (phase == RecoveryPhase.SERVE_ALL) {
            return AdmissionDecision.ADMIT;
        }
        requestsInPhase++;
        boolean prioritized = request.isWrite() || notIdempotent || priorities.isHighest(category);
        boolean served =
                prioritized
                        ? phase.compareTo(RecoveryPhase.SERVE_WRITES) >= 0
                        : phase.compareTo(RecoveryPhase.SERVE_READS) >= 0;
        return served
                ? admitWithinOriginLimit(request, now)
                : reject(Reason.NOT_YET_SERVED, NOT_YET_SERVED_RETRY_AFTER, now);
    }

    private AdmissionDecision admitWithinOriginLimit(IncomingRequest request, long now) {
        boolean read = request.isKeyedRead();
        if (read && keys.isCached(request.key())) {
            return AdmissionDecision.ADMIT;
        }
        long fetchDuration = 2 * Math.max(MIN_RETRY_AFTER, fetchLatency());
        if (read && isFetchedElsewhere(request.key(), fetchDuration, now)) {
            return reject(Reason.KEY_BEING_FETCHED, fetchDuration, now);
        }
        double share = priorities.limitShare(request.category().value());
        if (inFlight.size() >= Math.max(1, originLimit.limit() * share)) {
            // The more requests the limit has rejected recently, the longer the retry delay.
            double backoff = 1 + recentRejections / Math.max(1, originLimit.limit());
            return reject(Reason.ORIGIN_LIMIT, (long) (fetchDuration * backoff), now);
        }
        inFlight.put(request.id(), new AdmittedRequest(read ? request.key() : null));
        if (read) {
            keys.fetchStarted(request.key());
        }
        return AdmissionDecision.ADMIT;
    }

    private long fetchLatency() {
        long measured = originLimit.bestLatency();
        return measured == 0 ? DEFAULT_FETCH_LATENCY : measured;
    }

    private boolean isFetchedElsewhere(KeyId key, long fetchDuration, long now) {
        return keys.isBeingFetched(key) || keys.mustWait(key, fetchDuration, now);
    }

    /**
     * Rejects a request. Guards against clients that all retry at once: the retry delay is random,
     * from half to one and a half of the given one.
     */
    private AdmissionDecision reject(Reason reason, long delay, long now) {
        rejected++;
        if (reason == Reason.ORIGIN_LIMIT) {
            throttledAt = now;
            double halvings = (now - rejectionsUpdatedAt) / REJECTION_HALF_LIFE;
            recentRejections = recentRejections * Math.pow(0.5, halvings) + 1;
            rejectionsUpdatedAt = now;
        }
        long bounded = Math.min(MAX_RETRY_AFTER, Math.max(MIN_RETRY_AFTER, delay));
        return AdmissionDecision.reject(reason, bounded / 2 + random.nextLong(bounded));
    }

    void attemptSucceeded(RequestId request) {
        AdmittedRequest admitted = inFlight.get(request);
        if (admitted != null) {
            admitted.succeeded = true;
        }
    }

    void requestAnswered(RequestId request) {
        AdmittedRequest admitted = inFlight.remove(request);
        if (admitted != null && admitted.key != null) {
            keys.fetchEnded(admitted.key, admitted.succeeded);
        }
    }
}
