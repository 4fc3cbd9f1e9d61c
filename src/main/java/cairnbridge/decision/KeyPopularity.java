package cairnbridge.decision;

/**
 * Counts of lately asked keys in a few slots, halved now and then; of more caches, more ops are
 * kept.
 */
final class KeyPopularity {
    private static final int SLOTS = 4096;
    private static final int FEW = 4, MOST = 512;

    /** What a key is taken to have been asked, among so many ops, before anything is known. */
    private static final double PRIOR = 1, PRIOR_OPS = 20;

    private final int[] counts = new int[SLOTS];
    private int total;

    /**
     * How many times a cache's fair share of the traffic this key makes up: of many ops at the
     * least, of few as far as is known. A client's repeat counts for nothing.
     */
    double shares(long point, int caches, boolean repeat, boolean few, boolean wide) {
        // Guards against clients that come back at once: their repeats say nothing of how a key is
        // asked for.
        total += repeat ? 0 : 1;
        if (total > Math.max(MOST, 4 * caches)) {
            total = 0;
            for (int i = 0; i < SLOTS; i++) {
                total += counts[i] /= 2;
            }
        }
        int count = counts[(int) (point & SLOTS - 1)] += repeat ? 0 : 1;
        double sure = count - Math.sqrt(count);
        // Guards against a hot key that is new to each of many proxies: it is spread from the
        // first.
        if (few) {
            return 2 * (sure + (wide ? PRIOR : 0)) * caches / (total + PRIOR_OPS);
        }
        return count < FEW || total < 4 * FEW ? 0 : sure * caches / total;
    }
}
