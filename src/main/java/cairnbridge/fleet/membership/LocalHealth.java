package cairnbridge.fleet.membership;

/**
 * Lifeguard's local health multiplier: a score that rises when this member misses answers and falls
 * when it receives them. Guards against one slow member that declares all others dead.
 */
final class LocalHealth {
    private static final int MAX_SCORE = 8;
    private int score;

    /** Adds an amount, which may be negative, to the score within its bounds. */
    void adjust(int amount) {
        score = Math.max(0, Math.min(MAX_SCORE, score + amount));
    }

    /** Sets the score to its maximum, the worst health. */
    void setWorst() {
        score = MAX_SCORE;
    }

    int score() {
        return score;
    }

    /** The factor by which probe intervals and timeouts are multiplied. */
    int multiplier() {
        return 1 + score;
    }
}
