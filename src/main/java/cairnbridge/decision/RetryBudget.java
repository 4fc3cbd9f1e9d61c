package cairnbridge.decision;

/** Limits retries and hedged requests together to a share of all requests. */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    void requestArrived() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean has(int cost) {
        return tokens >= cost;
    }

    void spend(int cost) {
        tokens -= cost;
    }
}
