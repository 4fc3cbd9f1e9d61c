package cairnbridge.recovery;

/**
 * The decision about a new request during recovery.
 *
 * @param kind whether the request is handled, rejected or failed
 * @param reason why the request is not admitted
 * @param retryAfter the delay, in ticks, after which the client of a rejected request should retry
 */
public record AdmissionDecision(Kind kind, Reason reason, long retryAfter) {
    /** Admits a request. */
    public static final AdmissionDecision ADMIT =
            new AdmissionDecision(Kind.ADMITTED, Reason.NONE, 0);

    /** Fails a retry whose first attempt may have run. */
    static final AdmissionDecision FAIL_UNKNOWN_OUTCOME =
            new AdmissionDecision(Kind.FAILED, Reason.OUTCOME_UNKNOWN, 0);

    /** The three outcomes of an admission decision. */
    public enum Kind {
        /** The request is routed as usual. */
        ADMITTED,
        /** The request is rejected and has had no effect, so the client may retry it. */
        REJECTED,
        /** The request is failed, and an earlier attempt of it may have taken effect. */
        FAILED
    }

    /** Why a request is not admitted. */
    public enum Reason {
        /** The request is admitted. */
        NONE,
        /** The current phase does not serve requests of this kind. */
        NOT_YET_SERVED,
        /** The request must not run twice, and the endpoint list is not confirmed. */
        ENDPOINT_LIST_UNCONFIRMED,
        /** The limit of requests in flight to the origin is reached. */
        ORIGIN_LIMIT,
        /** Another request, here or at another member of the zone, fetches the key. */
        KEY_BEING_FETCHED,
        /** The request is a retry, and the outcome of its first attempt is unknown. */
        OUTCOME_UNKNOWN
    }

    static AdmissionDecision reject(Reason reason, long retryAfter) {
        return new AdmissionDecision(Kind.REJECTED, reason, retryAfter);
    }
}
