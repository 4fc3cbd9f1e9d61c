package cairnbridge.decision;

/**
 * Counts of lately requested keys in a few slots, halved now and then; with more caches, more
 * requests are remembered.
 */
final class KeyPopularity {
    private static final int SLOTS = 4096;
    private static final int MIN_COUNT = 4;
    private static final int MIN_MEMORY = 512;
    private static final int MEMORY_PER_CACHE = 4;

    /** How often a key counts as requested, among so many requests, before anything is known. */
    private static final double PRIOR_COUNT = 1;

    private static final double PRIOR_REQUESTS = 20;

    private final int[] counts = new int[SLOTS];
    private int total;

    /**
     * Counts a request, and tells how many times a cache's fair share of the traffic its key makes
     * up: of many requests at the least, of few as far as is known.
     *
     * @param isClientRetry a client that comes back says nothing of how often a key is requested
     * @param seesFewRequests whether there are more proxies than caches
     * @param originHasCapacity whether an unknown key may be fetched by several caches
     */
    double shares(
            long ringPoint,
            int caches,
            boolean isClientRetry,
            boolean seesFewRequests,
            boolean originHasCapacity) {
        int increment = isClientRetry ? 0 : 1;
        total += increment;
        if (total > Math.max(MIN_MEMORY, MEMORY_PER_CACHE * caches)) {
            halve();
        }
        int slot = (int) (ringPoint & (SLOTS - 1));
        counts[slot] += increment;
        int count = counts[slot];
        double certain = count - Math.sqrt(count);
        // Guards against a hot key that is new to each of many proxies: it is spread from the
        // first.
        if (seesFewRequests) {
            double prior = originHasCapacity ? PRIOR_COUNT : 0;
            return 2 * (certain + prior) * caches / (total + PRIOR_REQUESTS);
        }
        boolean isKnown = count >= MIN_COUNT && total >= 4 * MIN_COUNT;
        return isKnown ? certain * caches / total : 0;
    }

    private void halve() {
        total = 0;
        for (int i = 0; i < SLOTS; i++) {
            counts[i] /= 2;
            total += counts[i];
        }
    }
}
