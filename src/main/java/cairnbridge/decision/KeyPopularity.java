package cairnbridge.decision;

/**
 * Approximate request counts by key, in a fixed number of slots. All counts are halved when their
 * total exceeds a bound that grows with the number of caches.
 */
final class KeyPopularity {
    private static final int SLOTS = 4096;
    private static final int MIN_COUNT = 4;
    private static final int MIN_REMEMBERED_REQUESTS = 512;
    private static final int REMEMBERED_REQUESTS_PER_CACHE = 4;

    /**
     * The prior of the estimate: a key is assumed to have been requested this often among {@code
     * PRIOR_REQUESTS} requests before any request was counted.
     */
    private static final double PRIOR_COUNT = 1;

    private static final double PRIOR_REQUESTS = 20;

    private final int[] counts = new int[SLOTS];
    private int total;

    /**
     * Counts a request, and returns the estimated share of its key in the traffic as a multiple of
     * one cache's fair share. The estimate is a lower bound where the proxy sees many requests, and
     * includes a prior where it sees few.
     *
     * @param isClientRetry whether the request is a client's retry, which is not counted: it does
     *     not show how often a key is requested
     * @param seesFewRequests whether there are more proxies than caches
     * @param originHasCapacity whether several caches may fetch an unknown key
     */
    double fairShareMultiple(
            long ringPoint,
            int caches,
            boolean isClientRetry,
            boolean seesFewRequests,
            boolean originHasCapacity) {
        int increment = isClientRetry ? 0 : 1;
        total += increment;
        if (total > Math.max(MIN_REMEMBERED_REQUESTS, REMEMBERED_REQUESTS_PER_CACHE * caches)) {
            halve();
        }
        int slot = (int) (ringPoint & (SLOTS - 1));
        counts[slot] += increment;
        int count = counts[slot];
        double lowerBound = count - Math.sqrt(count);
        // Guards against a hot key that overloads its home node because each of many proxies sees
        // it for the first time: the prior spreads it from the first request on.
        if (seesFewRequests) {
            double prior = originHasCapacity ? PRIOR_COUNT : 0;
            return 2 * (lowerBound + prior) * caches / (total + PRIOR_REQUESTS);
        }
        boolean isKnown = count >= MIN_COUNT && total >= 4 * MIN_COUNT;
        return isKnown ? lowerBound * caches / total : 0;
    }

    private void halve() {
        total = 0;
        for (int i = 0; i < SLOTS; i++) {
            counts[i] /= 2;
            total += counts[i];
        }
    }
}
