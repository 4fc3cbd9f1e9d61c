package cairnbridge.hash;

/**
 * The mixing function of SplitMix64 (Steele, Lea, Flood 2014). It maps numbers that are close
 * together to values that are spread over the whole 64-bit range.
 */
public final class SplitMix64 {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private SplitMix64() {}

    /** Returns the hash of one number. */
    public static long mix(long value) {
        return finalizeMix(value + GOLDEN_GAMMA);
    }

    /**
     * Returns the hash of two numbers: the first is multiplied by the gamma, the second is added.
     */
    public static long mix(long first, long second) {
        return finalizeMix(first * GOLDEN_GAMMA + second);
    }

    private static long finalizeMix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}
