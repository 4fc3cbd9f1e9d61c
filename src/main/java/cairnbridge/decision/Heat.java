package cairnbridge.decision;

/** Counts of lately asked keys in a few slots, halved now and then; of more caches, more ops are kept. */
final class Heat {
    private static final int SLOTS = 4096;
    private static final int FEW = 4, MOST = 512;
    private final int[] counts = new int[SLOTS];
    private int total;

    /** How many times a cache's fair share of the traffic this key alone makes up, at the least. */
    double shares(long point, int caches) {
        if (++total > Math.max(MOST, 4 * caches)) {
            total = 0;
            for (int i = 0; i < SLOTS; i++) {
                total += counts[i] /= 2;
            }
        }
        int count = ++counts[(int) (point & SLOTS - 1)];
        return count < FEW || total < 4 * FEW ? 0 : (count - Math.sqrt(count)) * caches / total;
    }
}
