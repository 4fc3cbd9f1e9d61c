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

/** Admits or rejects requests during recovery, and tells rejected clients when to come back. */
final class RecoveryAdmission {
    private static final long MIN_RETRY_AFTER = 20 * Ticks.MILLISECOND;
    private static final long MAX_RETRY_AFTER = 2 * Ticks.SECOND;

    /** For requests that come before their kind is served. */
    private static final long NOT_YET_SERVED_RETRY_AFTER = Ticks.SECOND / 2;

    /** How long a fetch takes while that is not known. */
    private static final long DEFAULT_FETCH_LATENCY = 20 * Ticks.MILLISECOND;

    /** The count of rejections halves in this time. */
    private static final double REJECTION_HALF_LIFE = Ticks.SECOND;

    /** A request that was admitted while its key may not be cached. */
    private static final class AdmittedRequest {
        /** The key that it fetches; null if it fetches none. */
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
            OriginConcurrencyLimit originRamp,
            RandomGenerator random) {
        this.categories = categories;
        this.originLimit = originRamp;
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

    /** Requests since the present phase began. */
    int requestsInPhase() {
        return requestsInPhase;
    }

    /** Whether nothing was held back for the origin's sake for this long. */
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
        boolean onlyOnce = categories.get(category).effect() != Effect.IDEMPOTENT;
        if (onlyOnce && !listConfirmed) {
            return reject(Reason.ENDPOINT_LIST_UNCONFIRMED, NOT_YET_SERVED_RETRY_AFTER, now);
        }
        if (phase == RecoveryPhase.SERVE_ALL) {
            return AdmissionDecision.ADMIT;
        }
        requestsInPhase++;
        boolean servedFirst = request.isWrite() || onlyOnce || priorities.isHighest(category);
        boolean served =
                servedFirst
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
            // The more requests come that cannot be admitted, the later each is to come back.
            double crowd = 1 + recentRejections / Math.max(1, originLimit.limit());
            return reject(Reason.ORIGIN_LIMIT, (long) (fetchDuration * crowd), now);
        }
        inFlight.put(request.id(), new AdmittedRequest(read ? request.key() : null));
        if (read) {
            keys.fetchStarted(request.key());
        }
        return AdmissionDecision.ADMIT;
    }

    private long fetchLatency() {
        long known = originLimit.bestLatency();
        return known == 0 ? DEFAULT_FETCH_LATENCY : known;
    }

    private boolean isFetchedElsewhere(KeyId key, long fetchDuration, long now) {
        return keys.isBeingFetched(key) || keys.mustWait(key, fetchDuration, now);
    }

    /**
     * Guards against clients that all come back at once: each is told another time, from half to
     * one and a half of the delay.
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
