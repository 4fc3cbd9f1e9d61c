package cairnbridge.decision;

/** Bounds retries and hedged requests together to a part of all requests. */
final class RetryBudget {
    private static final double SHARE = 0.1;
    private static final double BURST = 10;

    private double tokens = BURST;

    void requestArrived() {
        tokens = Math.min(BURST, tokens + SHARE);
    }

    boolean has(int cost) {
        return tokens >= cost;
    }

    void spend(int cost) {
        tokens -= cost;
    }
}
