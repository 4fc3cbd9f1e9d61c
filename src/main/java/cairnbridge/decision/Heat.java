package cairnbridge.decision;

/** Counts of lately asked keys in a few slots, halved now and then. */
final class Heat {
    private static final int SLOTS = 4096;
    private static final int FEW = 4;
    private final int[] counts = new int[SLOTS];
    private int total;

    /** How many times a cache's fair share of the traffic this key alone makes up; 0 while unclear. */
    double shares(long point, int caches) {
        total++;
        int count = ++counts[(int) (point & SLOTS - 1)];
        return count < FEW || total < 2 * caches ? 0 : (double) count * caches / total;
    }

    void halve() {
        total = 0;
        for (int i = 0; i < SLOTS; i++) {
            total += counts[i] /= 2;
        }
    }
}
